"""Ids of stream events: authenticated tokens to resume an answer.

An id contains the gateway and the endpoint that served the answer, how many
tokens the caller has, and the digest of their text. Its tag is a keyed hash, so
callers can't forge ids, and an id is valid for one client account only.
"""

import binascii
import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from hashlib import blake2b, sha256
from typing import NamedTuple

import msgspec
from xxhash import xxh3_64

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.live_stream import Piece

_TAG_BYTES = 12
_MAX_ID_CHARS = 2048


class ResumePoint(NamedTuple):
    """Contents of an event id.

    Attributes
    ----------
    request_id : str
        Request id of the first call.
    gateway : str
        ``host:port`` of the peer listener of the gateway that sent the event.
    endpoint_id, incarnation : str, int
        Endpoint that generated the token.
    attempt : str
        Attempt id at that endpoint.
    position : int
        Position of the token; the next one is ``position + 1``. For the end
        marker of an answer, the number of its tokens.
    digest : str
        Digest of the text of tokens 0 to ``position``.
    """

    request_id: str
    gateway: str
    endpoint_id: str
    incarnation: int
    attempt: str
    position: int
    digest: str


class TextDigest:
    """Running digest of tokens; includes the token boundaries."""

    def __init__(self) -> None:
        self._hash = xxh3_64()

    def add(self, text: str) -> None:
        """Add one token."""
        data = text.encode("utf-8", "surrogatepass")
        self._hash.update(b"%d:%b" % (len(data), data))

    def hexdigest(self) -> str:
        """Return the digest so far."""
        return self._hash.hexdigest()


def text_digest(tokens: list[str]) -> str:
    """Return the digest of several tokens."""
    running = TextDigest()
    for token in tokens:
        running.add(token)
    return running.hexdigest()


def _tag(key: bytes, account: str, text: str) -> str:
    """Return the keyed hash of an id's text for one client account.

    Uses keyed BLAKE2b, because HMAC through OpenSSL takes many times as long for
    such short texts and every streamed token needs a hash.
    """
    message = f"{account}\0{text}".encode()
    digest = blake2b(message, digest_size=_TAG_BYTES, key=key).digest()
    return urlsafe_b64encode(digest).decode()


def _key(credential: str) -> bytes:
    """Return a key of a size that BLAKE2b accepts, derived from the credential."""
    return sha256(credential.encode()).digest()


class EventIds:
    """Creates the event ids of one answer.

    Parameters
    ----------
    credential : str
        Peer credential, which all gateways share.
    account : str
        Client account of the answer.
    request_id, gateway : str
        See `ResumePoint`.
    """

    def __init__(
        self, credential: str, account: str, request_id: str, gateway: str
    ) -> None:
        self._key = _key(credential)
        self._account = account
        self._call = (request_id, gateway)
        self._digest = TextDigest()
        self._source: tuple[str, int, str] | None = None
        self._head = ""

    def add_delivered(self, tokens: list[str]) -> None:
        """Add tokens that the caller already has to the digest."""
        for token in tokens:
            self._digest.add(token)

    def make(self, source: tuple[str, int, str], piece: Piece) -> str:
        """Return the id of a piece from ``source``.

        ``source`` is (endpoint id, incarnation, attempt id). An end
        marker without text is not a token and doesn't change the digest.
        """
        if source != self._source:
            self._source = source
            packed = msgspec.json.encode((*self._call, *source))
            self._head = urlsafe_b64encode(packed).decode()
        if piece.is_token:
            self._digest.add(piece.text)
        text = f"{self._head}.{piece.position}.{self._digest.hexdigest()}"
        return f"{text}.{_tag(self._key, self._account, text)}"


def read_event_id(event_id: str, credential: str, account: str) -> ResumePoint:
    """Return the resume point of an event id; raises BAD_REQUEST if it is invalid."""
    invalid = EbonydealError(
        ErrorKind.BAD_REQUEST, "Last-Event-ID is not a valid id of this account"
    )
    text, _sep, tag = event_id.rpartition(".")
    if len(event_id) > _MAX_ID_CHARS or not event_id.isascii():
        raise invalid
    if not hmac.compare_digest(tag, _tag(_key(credential), account, text)):
        raise invalid
    try:
        head, position, digest = text.split(".")
        fields = msgspec.json.decode(urlsafe_b64decode(head))
        request_id, gateway, endpoint_id, incarnation, attempt = fields
        return ResumePoint(
            request_id,
            gateway,
            endpoint_id,
            incarnation,
            attempt,
            int(position),
            digest,
        )
    except (ValueError, TypeError, binascii.Error, msgspec.DecodeError) as exc:
        raise invalid from exc
