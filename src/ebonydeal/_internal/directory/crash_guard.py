"""Requests that one process sends no more, since endpoints crashed under them.

Gateways and journals each bound what they send by what they saw themselves.
"""

from collections.abc import Awaitable, Callable

from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.routing.crashes.crash_evidence import (
    CrashEvidence,
    QuarantineStatus,
)
from ebonydeal._internal.routing.crashes.crash_messages import ObservedCrash
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.reachability import refuses_connections
from ebonydeal._internal.utils.request_digest import RequestDigest

logger = get_logger("crash")

RefusalProbe = Callable[[str, float], Awaitable[bool]]
# A process that is gone refuses within milliseconds; what takes longer is unreachable.
_PROBE_TIMEOUT_S = 0.3
_OK = 200
_MIN_FAILURE_STATUS = 300


class CrashGuard:
    """Remembers crashes, and refuses what three endpoints crashed under.

    Parameters
    ----------
    metrics, clock : Metrics, Clock
        Counters and time.
    refuses : callable, optional
        Returns whether an address refuses connections.
    """

    def __init__(
        self, metrics: Metrics, clock: Clock, probe: RefusalProbe = refuses_connections
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._probe = probe
        self._evidence = CrashEvidence()

    def check(self, request: Request, may_have_run: bool) -> None:
        """Raise REQUEST_QUARANTINED if the request is quarantined.

        ``may_have_run`` says whether this very request may have run already.
        """
        self._evidence.expire(self._clock.now())
        digest = _digest(request)
        if self._evidence.status(digest) is not QuarantineStatus.QUARANTINED:
            return
        count = len(self._evidence.crashed_endpoints(digest))
        raise EbonydealError(
            ErrorKind.REQUEST_QUARANTINED,
            f"{count} endpoints crashed under this request (digest {digest}).",
            outcome=Outcome.UNKNOWN if may_have_run else None,
        )

    async def record_failure(
        self, request: Request, view: EndpointView, kind: ErrorKind
    ) -> None:
        """Note a try that ended in a failure of its endpoint."""
        if kind is not ErrorKind.ENDPOINT_FAILED:
            return
        if not await self._probe(view.address, _PROBE_TIMEOUT_S):
            return
        now, digest = self._clock.now(), _digest(request)
        seen = ObservedCrash(view.endpoint_id, view.incarnation, view.place.zone, now)
        held_before = self._evidence.status(digest) is QuarantineStatus.QUARANTINED
        if self._evidence.record_crash(seen, [digest]) is None:
            return
        self._metrics.count(Event.ENDPOINTS_CRASHED)
        logger.info(
            "Endpoint crashed amid a request.",
            request=request.request_id,
            digest=digest,
            endpoint=view.endpoint_id,
        )
        held = self._evidence.status(digest) is QuarantineStatus.QUARANTINED
        if held and not held_before:
            self._metrics.count(Event.REQUESTS_QUARANTINED)
            logger.warning(
                "Request quarantined.",
                digest=digest,
                endpoints=self._evidence.crashed_endpoints(digest),
                told_by="itself",
            )

    def record_answer(self, request: Request, status: int = _OK) -> None:
        """Note a whole answer.

        Only a success speaks for a request: an endpoint that fails part of what it
        gets may do so before it runs it.
        """
        if status < _MIN_FAILURE_STATUS:
            self._evidence.record_success(_digest(request), self._clock.now())


def _digest(request: Request) -> str:
    """Return the digest of a request, by account, deployment, path and body."""
    digest = RequestDigest(
        request.account, request.deployment, request.method, request.path
    )
    digest.update(request.body_digest.encode())
    return digest.text()
