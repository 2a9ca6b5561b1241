"""The coordinator's part of fair shares: relays' reports in, their shares out."""

from collections.abc import Iterable

from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.peers.messages import ExchangeMessage
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.admission.service_shares import ServiceShares
from ebonydeal._internal.routing.admission.share_messages import (
    OfferedMessage,
    SharesMessage,
    decode_offered,
    encode_shares,
)
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.shares")

# Shares are divided again after this long: one division serves many replies.
_DIVISION_TTL_S = 0.1
# Invalid reports of one relay are logged at most once in this time.
_LOG_INTERVAL_S = 10.0


class ShareDivider:
    """Divides the capacity of all services while this relay is the coordinator.

    Parameters
    ----------
    view : RelayView
        Services and their usable endpoints.
    clock, metrics
        Time, observation.
    """

    def __init__(self, view: RelayView, clock: Clock, metrics: Metrics) -> None:
        self._view = view
        self._clock = clock
        self._metrics = metrics
        self._services: dict[str, ServiceShares] = {}
        self._offered: dict[str, OfferedMessage] = {}
        self._divided_until = 0.0
        self._logged_at: dict[str, float] = {}

    def begin(self) -> None:
        """Start with no reports: those of an earlier time may be stale."""
        self._services = {}
        self._offered = {}
        self._divided_until = 0.0

    def record(self, message: ExchangeMessage) -> None:
        """Store a relay's offered work; an invalid one changes nothing."""
        node = message["node"]
        # A relay of the previous release, or one without shares, reports none.
        offered = message.get("offered")
        if offered is None:
            self._offered.pop(node, None)
            return
        try:
            self._offered[node] = decode_offered(offered)
        except ValueError as exc:
            self._reject(node, str(exc))

    def shares_for(
        self, node: str, alive: Iterable[str], fence: int, seconds: float
    ) -> SharesMessage:
        """Return a relay's shares of the services that are short.

        Parameters
        ----------
        node : str
            The relay.
        alive : iterable of str
            All relays that reported recently.
        fence : int
            This coordinator's fencing token.
        seconds : float
            For how long the shares are valid.
        """
        now = self._clock.now()
        if now >= self._divided_until:
            self._divide(alive, now)
            self._divided_until = now + _DIVISION_TTL_S
        shares = {}
        for name, service in self._services.items():
            part = service.for_relay(node)
            if part is not None:
                shares[name] = part
        return encode_shares(fence, seconds, shares)

    def _divide(self, alive: Iterable[str], now: float) -> None:
        """Divide each service's capacity by the last reports of live relays."""
        index = self._view.index
        if index is None:
            return
        nodes = list(alive)
        self._offered = {n: self._offered[n] for n in nodes if n in self._offered}
        reported = {name for offered in self._offered.values() for name in offered}
        names = (reported | set(self._services)) & set(index.table.services)
        self._services = {n: s for n, s in self._services.items() if n in names}
        for name in names:
            service = self._services.setdefault(name, ServiceShares())
            reports = {
                node: self._offered.get(node, {}).get(name, {}) for node in nodes
            }
            # Endpoints that fail count, too: sends that time out under overload are
            # failures, and without capacity there would be no shares.
            capacity = float(len(self._view.of_service(name)))
            change = service.update(reports, capacity, now)
            if change is None:
                continue
            if change.entered:
                self._metrics.count(Event.SHORTAGES)
            logger.info(
                "Service is short." if change.entered else "Service is not short.",
                service=name,
                offered=round(change.offered, 3),
                capacity=capacity,
                shares={n: round(share, 3) for n, share in change.shares.items()},
                relays=len(nodes),
            )

    def _reject(self, node: str, reason: str) -> None:
        self._metrics.count(Event.SHARES_INVALID)
        now = self._clock.now()
        if now - self._logged_at.get(node, -_LOG_INTERVAL_S) < _LOG_INTERVAL_S:
            return
        self._logged_at[node] = now
        logger.warning("Offered work rejected.", source=node, reason=reason)
