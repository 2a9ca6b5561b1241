"""From a caller's API key to its client account."""

import hashlib
from collections import OrderedDict

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.document import Account, Document
from ebonydeal._internal.utils.keys import key_matches

_SCHEME = "bearer"
_MAX_KEY_CHARS = 512
_CACHE_ENTRIES = 4096


def bearer_key(header: str | None) -> str:
    """Return the API key of an ``Authorization`` header.

    Raises UNAUTHORIZED where there is none.
    """
    scheme, _sep, key = (header or "").partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key:
        raise EbonydealError(ErrorKind.UNAUTHORIZED, "no API key was sent")
    if len(key) > _MAX_KEY_CHARS:
        raise EbonydealError(ErrorKind.UNAUTHORIZED, "the API key is not known")
    return key


def _find(key: str, document: Document) -> tuple[str, str] | None:
    """Return (account, hash) of ``key``; looks at every hash in any case."""
    found = None
    for account in document.accounts.values():
        for hashed in account.key_hashes:
            if key_matches(key, hashed):
                found = (account.name, hashed)
    return found


class Authenticator:
    """Checks API keys against the document in force.

    Verified keys are remembered by digest in bounded memory, so that a known
    key costs one hash. A remembered key is checked against the present
    document each time: a revoked one is refused at once. Unknown keys are not
    remembered, so that guessing can't push out the known ones.

    Parameters
    ----------
    entries : int
        Most keys remembered.
    """

    def __init__(self, entries: int = _CACHE_ENTRIES) -> None:
        self._entries = entries
        self._known: OrderedDict[bytes, tuple[str, str]] = OrderedDict()

    def account(self, header: str | None, document: Document) -> Account:
        """Return the account of an ``Authorization`` header.

        Raises UNAUTHORIZED for a missing, wrong or revoked key.
        """
        key = bearer_key(header)
        digest = hashlib.sha256(key.encode()).digest()
        found = self._known.get(digest)
        if found is None or not _still_valid(found, document):
            self._known.pop(digest, None)
            found = _find(key, document)
        if found is None:
            raise EbonydealError(ErrorKind.UNAUTHORIZED, "the API key is not known")
        self._remember(digest, found)
        return document.accounts[found[0]]

    def _remember(self, digest: bytes, found: tuple[str, str]) -> None:
        """Keep a verified key, dropping the one unused for longest."""
        self._known[digest] = found
        self._known.move_to_end(digest)
        if len(self._known) > self._entries:
            self._known.popitem(last=False)


def _still_valid(found: tuple[str, str], document: Document) -> bool:
    """Return whether a remembered key's hash is still the account's."""
    account = document.accounts.get(found[0])
    return account is not None and found[1] in account.key_hashes
