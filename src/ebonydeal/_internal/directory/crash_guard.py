"""Quarantine of requests under which endpoints crashed.

Each gateway and journal decides by the crashes that it observed itself.
"""

from collections.abc import Awaitable, Callable

from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.routing.crashes.crash_evidence import CrashEvidence
from ebonydeal._internal.routing.crashes.crash_messages import ObservedCrash
from ebonydeal._internal.routing.crashes.quarantine import QuarantineStatus
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.reachability import refuses_connections
from ebonydeal._internal.utils.request_digest import RequestDigest

logger = get_logger("crash")

RefusalProbe = Callable[[str, float], Awaitable[bool]]
# The host of a crashed process refuses a connection within milliseconds; an endpoint
# that takes longer is unreachable.
_PROBE_TIMEOUT_S = 0.3
_OK = 200
_MIN_FAILURE_STATUS = 300


class CrashGuard:
    """Records crashes, and quarantines requests under which three endpoints crashed.

    Parameters
    ----------
    metrics, clock : Metrics, Clock
        Counters and time.
    probe : callable, optional
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
        traits = _traits(request)
        if self._evidence.status(traits) is not QuarantineStatus.QUARANTINED:
            return
        count = len(self._evidence.crashed_endpoints(traits))
        raise EbonydealError(
            ErrorKind.REQUEST_QUARANTINED,
            f"{count} endpoints crashed under this request (digest {traits.digest}).",
            outcome=Outcome.UNKNOWN if may_have_run else None,
        )

    async def record_failure(
        self, request: Request, view: EndpointView, kind: ErrorKind
    ) -> None:
        """Record an attempt that failed, and check whether its endpoint crashed."""
        if kind is not ErrorKind.ENDPOINT_FAILED:
            return
        if not await self._probe(view.address, _PROBE_TIMEOUT_S):
            return
        now, traits = self._clock.now(), _traits(request)
        crash = ObservedCrash(view.endpoint_id, view.incarnation, view.place.zone, now)
        was_quarantined = self._evidence.status(traits) is QuarantineStatus.QUARANTINED
        if self._evidence.record_crash(crash, [traits]) is None:
            return
        self._metrics.count(Event.ENDPOINTS_CRASHED)
        logger.info(
            "Endpoint crashed during a request.",
            request=request.request_id,
            digest=traits.digest,
            endpoint=view.endpoint_id,
        )
        is_quarantined = self._evidence.status(traits) is QuarantineStatus.QUARANTINED
        if is_quarantined and not was_quarantined:
            self._metrics.count(Event.REQUESTS_QUARANTINED)
            logger.warning(
                "Request quarantined.",
                digest=traits.digest,
                endpoints=self._evidence.crashed_endpoints(traits),
                told_by="itself",
            )

    def record_answer(self, request: Request, status: int = _OK) -> None:
        """Record a complete answer.

        Only a success clears a request: an endpoint that returns an error may not
        have run it.
        """
        if status < _MIN_FAILURE_STATUS:
            self._evidence.record_success(_traits(request), self._clock.now())


def _traits(request: Request) -> RequestTraits:
    """Return the traits of a request, by account, deployment, path and body."""
    digest = RequestDigest(
        request.account, request.deployment, request.method, request.path
    )
    digest.update(request.body_digest.encode())
    return RequestTraits(digest.hexdigest(), request.account)
