"""Maps API keys to client accounts."""

import hashlib
from collections import OrderedDict

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.document import Account, Document
from ebonydeal._internal.utils.keys import key_matches

_SCHEME = "bearer"
_MAX_KEY_CHARS = 512
_MAX_CACHED_KEYS = 4096


def bearer_key(header: str | None) -> str:
    """Return the API key of an ``Authorization`` header.

    Raises UNAUTHORIZED if there is none.
    """
    scheme, _sep, key = (header or "").partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key:
        raise EbonydealError(ErrorKind.UNAUTHORIZED, "the request has no API key")
    if len(key) > _MAX_KEY_CHARS:
        raise EbonydealError(ErrorKind.UNAUTHORIZED, "the API key is not known")
    return key


def _find(key: str, document: Document) -> tuple[str, str] | None:
    """Return (account, hash) of ``key``; always compares it with every hash."""
    found = None
    for account in document.accounts.values():
        for hashed in account.key_hashes:
            if key_matches(key, hashed):
                found = (account.name, hashed)
    return found


class Authenticator:
    """Checks API keys against the document in force.

    Verified keys are cached by digest in bounded memory, so a cached key costs
    one hash. A cached key is checked against the current document each time, so
    a revoked key is refused immediately. Unknown keys are not cached, so guesses
    can't evict valid keys.

    Parameters
    ----------
    entries : int
        Maximum number of cached keys.
    """

    def __init__(self, entries: int = _MAX_CACHED_KEYS) -> None:
        self._entries = entries
        self._verified: OrderedDict[bytes, tuple[str, str]] = OrderedDict()

    def account(self, header: str | None, document: Document) -> Account:
        """Return the account of an ``Authorization`` header.

        Raises UNAUTHORIZED for a missing, wrong or revoked key.
        """
        key = bearer_key(header)
        digest = hashlib.sha256(key.encode()).digest()
        found = self._verified.get(digest)
        if found is None or not _still_valid(found, document):
            self._verified.pop(digest, None)
            found = _find(key, document)
        if found is None:
            raise EbonydealError(ErrorKind.UNAUTHORIZED, "the API key is not known")
        self._cache(digest, found)
        return document.accounts[found[0]]

    def _cache(self, digest: bytes, found: tuple[str, str]) -> None:
        """Cache a verified key; evicts the least recently used one."""
        self._verified[digest] = found
        self._verified.move_to_end(digest)
        if len(self._verified) > self._entries:
            self._verified.popitem(last=False)


def _still_valid(found: tuple[str, str], document: Document) -> bool:
    """Return whether a cached key's hash still belongs to the account."""
    account = document.accounts.get(found[0])
    return account is not None and found[1] in account.key_hashes
