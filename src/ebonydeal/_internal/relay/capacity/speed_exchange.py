"""Engines' speeds in the relays' reports and in the coordinator's replies.

A report has about 40 bytes for each engine of which the relay has recent samples, at
most 64 engines; a reply as much for each engine whose speed isn't near 1.0.
"""

from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.capacity.engine_speeds import EngineSpeeds
from ebonydeal._internal.routing.capacity.speed_sums import decode_sums
from ebonydeal._internal.routing.capacity.speed_totals import SpeedTotals
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.engine_speeds")

# A change by more than this factor is logged, for so many engines at a time, and for
# one engine after this long again.
_LOGGED_FACTOR = 1.25
_MAX_LOGGED = 5
_LOG_INTERVAL_S = 2.0
# Invalid messages are logged at most this often.
_INVALID_LOG_INTERVAL_S = 1.0


class _InvalidLog:
    """Logs invalid messages, at most one a second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_at = 0.0
        self._unlogged = 0

    def add(self, source: str, reason: str) -> None:
        """Log one, or count it for the next line."""
        now = self._clock.now()
        if now < self._next_at:
            self._unlogged += 1
            return
        self._next_at = now + _INVALID_LOG_INTERVAL_S
        logger.warning(
            "Engine speeds rejected.",
            source=source,
            reason=reason,
            unlogged=self._unlogged,
        )
        self._unlogged = 0


class SpeedReporter:
    """A relay's side: reports own samples, and applies those of the others."""

    def __init__(self, speeds: EngineSpeeds, clock: Clock) -> None:
        self._speeds = speeds
        self._clock = clock
        self._invalid = _InvalidLog(clock)

    def report(self) -> dict[str, list]:
        """Return the field of a report; empty unless speeds are learned."""
        return self._speeds.own_sums(self._clock.now())

    def apply(self, field: object) -> None:
        """Apply a reply's field; None says that the coordinator learns no speeds."""
        if field is None or not self._speeds.enabled:
            return
        try:
            sums = decode_sums(field)
        except ValueError as exc:
            self._invalid.add("coordinator", str(exc))
            return
        self._speeds.update_shared(sums, self._clock.now())


class SpeedMerger:
    """The coordinator's side: adds up the samples of all relays.

    A new coordinator has none, and learns them from the next reports.
    """

    def __init__(self, view: RelayView, clock: Clock) -> None:
        self._view = view
        self._clock = clock
        self._totals = SpeedTotals()
        self._invalid = _InvalidLog(clock)
        # The last logged speed of each engine process, and when that was.
        self._logged: dict[tuple[str, int], tuple[float, float]] = {}

    def merge(self, node: str, field: object, relay_timeout: float) -> dict[str, list]:
        """Merge a report's field; return the sums of all other relays.

        ``relay_timeout`` are the seconds after which a silent relay counts as lost.
        """
        now = self._clock.now()
        try:
            self._totals.record(node, decode_sums(field), now)
        except ValueError as exc:
            self._invalid.add(node, str(exc))
        if self._totals.refresh(self._view.members, relay_timeout, now):
            self._log_changes(now)
        return self._totals.without(node)

    def _log_changes(self, now: float) -> None:
        members = self._view.members
        self._logged = {
            process: logged
            for process, logged in self._logged.items()
            if process[0] in members and members[process[0]].incarnation == process[1]
        }
        lines = 0
        for endpoint_id, estimate in self._totals.estimates.items():
            member = members.get(endpoint_id)
            if member is None or lines >= _MAX_LOGGED:
                continue
            process = (endpoint_id, member.incarnation)
            before, at = self._logged.get(process, (1.0, now - _LOG_INTERVAL_S))
            ratio = estimate.speed / before
            if 1.0 / _LOGGED_FACTOR <= ratio <= _LOGGED_FACTOR:
                continue
            if now - at < _LOG_INTERVAL_S:
                continue
            self._logged[process] = (estimate.speed, now)
            lines += 1
            logger.info(
                "Engine's speed changed.",
                endpoint=endpoint_id,
                born=member.incarnation,
                service=member.service,
                before=round(before, 2),
                speed=round(estimate.speed, 2),
                samples=round(estimate.weight, 1),
                age_s=round(estimate.age_s, 3),
            )
