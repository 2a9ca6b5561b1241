"""The order in which clients that were told to retry later are served.

Load: an account that sends more than its share, whose clients retry. Each refusal takes
the next time at which the share will have capacity, so that clients don't return all at
once, and the client gets a ticket for that time. A request that returns with its ticket
at its time goes before new ones.
"""

from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as EncodingError
from enum import StrEnum
from hashlib import sha256
from hmac import compare_digest
from hmac import digest as hmac_digest
from json import dumps, loads
from random import Random
from typing import NamedTuple

from ebonydeal._internal.routing.admission.share_buckets import (
    ShareRefusal,
    ShareRequest,
)

# Fraction of a bucket that new requests leave to returning ones.
_RETURN_RESERVE = 0.2
# Fraction of its remaining time that a client is asked to wait. Clients honour a third;
# the rest is for the time until they get the answer.
_MAX_WAIT_SHARE = 0.3
# A request that returns within this fraction of the objective may still be answered in
# time. Under lasting overload, longer queues make every answer late.
_MAX_WAIT_OBJECTIVES = 0.5
_MIN_WAIT_S = 0.02
# Fraction of a share that places are given for. The rest is for new requests, and for
# clients that return at another relay than the one that gave them their place.
_RETURN_PART = 0.5
# For this long after the last place the reserve is kept for returning requests.
_RESERVE_TTL_S = 1.0
# Clients without a ticket return in the upper part of the time that they may wait.
_MIN_SPREAD = 0.5
# How much earlier a ticket is accepted: wall clocks of relays differ.
_MAX_CLOCK_SKEW_S = 0.05
# How long after its time a ticket is accepted.
_TICKET_TTL_S = 2.0
# Longer texts are no tickets.
_MAX_TICKET_CHARS = 1024
# The credential signs other things too; a signature must be valid for one use only.
_KEY_PURPOSE = b"retry-ticket"


class ReturnTicket(NamedTuple):
    """A client's place in the order of return.

    Attributes
    ----------
    digest : str
        The request's, as in `RequestTraits`.
    service, account : str
        Whose share it uses.
    priority : int
        0 is served first.
    return_at, expires_at : float
        Wall-clock times, seconds.
    """

    digest: str
    service: str
    account: str
    priority: int
    return_at: float
    expires_at: float


class TicketStatus(StrEnum):
    """What a returning request's ticket is worth."""

    VALID = "valid"
    EARLY = "early"
    EXPIRED = "expired"
    FORGED = "forged"
    OTHER_REQUEST = "other_request"
    USED = "used"


class TicketSigner:
    """Signs tickets, and reads those that any relay signed.

    Parameters
    ----------
    credential : str
        The relays' common credential.
    """

    def __init__(self, credential: str) -> None:
        self._key = hmac_digest(credential.encode(), _KEY_PURPOSE, "sha256")

    def sign(self, ticket: ReturnTicket) -> str:
        """Return a ticket's text for a header."""
        payload = dumps(list(ticket), separators=(",", ":")).encode()
        signature = hmac_digest(self._key, payload, "sha256")
        return f"{_encode(payload)}.{_encode(signature)}"

    def read(self, text: str) -> ReturnTicket | None:
        """Return the ticket, or None if no relay signed it."""
        if len(text) > _MAX_TICKET_CHARS:
            return None
        encoded, _separator, encoded_signature = text.partition(".")
        try:
            payload, signature = _decode(encoded), _decode(encoded_signature)
        except (EncodingError, ValueError):
            return None
        if not compare_digest(signature, hmac_digest(self._key, payload, "sha256")):
            return None
        return ReturnTicket(*loads(payload))


class ReturnOrder:
    """Virtual queues by service, account and priority at one relay.

    Parameters
    ----------
    signer : TicketSigner
        Signs and reads tickets.
    rng : Random
        Spreads clients that get no ticket.
    """

    def __init__(self, signer: TicketSigner, rng: Random) -> None:
        self._signer = signer
        self._rng = rng
        # When the share will have capacity for the next one, monotonic seconds.
        self._next: dict[tuple[str, str], dict[int, float]] = {}
        # Digests of tickets that were used here, with their expiry.
        self._used: dict[bytes, float] = {}
        self._swept_at = 0.0

    def reserve_time(
        self,
        request: ShareRequest,
        refusal: ShareRefusal,
        time_left: float,
        now: float,
    ) -> tuple[float, bool]:
        """Return how long a refused client waits, and whether it has a place.

        Parameters
        ----------
        request, refusal
            The request and why it is refused.
        time_left : float
            Until the client's deadline, seconds.
        now : float
            Monotonic seconds.
        """
        max_wait = max(_MIN_WAIT_S, time_left * _MAX_WAIT_SHARE)
        horizon = min(max_wait, request.objective * _MAX_WAIT_OBJECTIVES)
        queues = self._next.setdefault((request.service, request.account), {})
        # More urgent ones go first, so their places aren't given away again.
        taken = [at for p, at in queues.items() if p <= request.priority]
        wait = max(_MIN_WAIT_S, refusal.return_s, max(taken, default=now) - now)
        if wait > horizon or refusal.rate <= 0.0:
            return max_wait * self._rng.uniform(_MIN_SPREAD, 1.0), False
        queues[request.priority] = (
            now + wait + (request.cost / (refusal.rate * _RETURN_PART))
        )
        return wait, True

    def reserve(self, request: ShareRequest, now: float) -> float:
        """Return the fraction of its bucket that a new request leaves.

        None is reserved for an account that was not refused lately, as one that stays
        within its share.
        """
        queues = self._next.get((request.service, request.account), {})
        last = max(queues.values(), default=float("-inf"))
        return _RETURN_RESERVE if now < last + _RESERVE_TTL_S else 0.0

    def issue(
        self, request: ShareRequest, digest: str, wait_s: float, wall: float
    ) -> str:
        """Return a ticket for a request that returns after ``wait_s``."""
        return_at = wall + wait_s
        return self._signer.sign(
            ReturnTicket(
                digest,
                request.service,
                request.account,
                request.priority,
                return_at,
                return_at + _TICKET_TTL_S,
            )
        )

    def check(
        self, text: str, request: ShareRequest, digest: str, wall: float
    ) -> TicketStatus:
        """Return what a ticket is worth; a valid one is used up at this relay."""
        ticket = self._signer.read(text)
        if ticket is None:
            return TicketStatus.FORGED
        if (ticket.digest, *ticket[1:4]) != (
            digest,
            request.service,
            request.account,
            request.priority,
        ):
            return TicketStatus.OTHER_REQUEST
        if wall < ticket.return_at - _MAX_CLOCK_SKEW_S:
            return TicketStatus.EARLY
        if wall >= ticket.expires_at:
            return TicketStatus.EXPIRED
        self._sweep(wall)
        used = sha256(text.encode("utf-8", "surrogateescape")).digest()
        if used in self._used:
            return TicketStatus.USED
        self._used[used] = ticket.expires_at
        return TicketStatus.VALID

    def _sweep(self, wall: float) -> None:
        """Forget used tickets that have expired."""
        if wall - self._swept_at < _TICKET_TTL_S:
            return
        self._swept_at = wall
        self._used = {key: at for key, at in self._used.items() if wall < at}


def _encode(data: bytes) -> str:
    return urlsafe_b64encode(data).decode("ascii").rstrip("=")


def _decode(text: str) -> bytes:
    """Return decoded data; raises ValueError for anything that `_encode` can't give."""
    data = urlsafe_b64decode(text.encode("ascii") + b"=" * (-len(text) % 4))
    if _encode(data) != text:
        raise ValueError("not canonical")
    return data
