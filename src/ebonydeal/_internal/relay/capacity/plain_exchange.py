"""Plain endpoints' capacity in reports to the coordinator, and in its replies.

A report adds about 60 bytes for each plain endpoint that the relay sent to in the last
12 s; a reply about 45 bytes for each whose estimate changes or that has requests in
flight. There are no further messages.
"""

from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.peers.messages import ExchangeMessage, ExchangeReply
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.capacity.capacity_messages import (
    CapacityTable,
    decode_running,
    decode_samples,
)
from ebonydeal._internal.routing.capacity.plain_capacity import PlainCapacity
from ebonydeal._internal.routing.capacity.shared_capacity import (
    EstimateChange,
    SharedCapacity,
)
from ebonydeal._internal.routing.duties.report_pacing import ReportPacing
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("relay.capacity")


class PlainCapacityExchange:
    """A relay's part of the exchange, and the coordinator's if it holds the lease.

    Parameters
    ----------
    enabled : bool
        Whether `learn_capacity` is on. If not, the fields stay empty.
    view : RelayView
        The listed endpoints.
    metrics : Metrics
        Counts changed estimates and refused messages.
    clock : Clock
        Time.

    Attributes
    ----------
    learned : PlainCapacity or None
        What this relay knows; None if it learns nothing.
    """

    def __init__(
        self, enabled: bool, view: RelayView, metrics: Metrics, clock: Clock
    ) -> None:
        self.learned = PlainCapacity() if enabled else None
        self._view = view
        self._metrics = metrics
        self._clock = clock
        self._shared = SharedCapacity()
        self._shared.on_change = self._report_change

    # --- relay -------------------------------------------------------------------
    def report(self) -> CapacityTable:
        """Return this relay's samples for its report."""
        if self.learned is None:
            return {}
        return self.learned.own_samples(self._clock.now())

    def apply_reply(self, reply: ExchangeReply) -> None:
        """Apply the coordinator's estimates; invalid ones are logged and ignored."""
        # A coordinator of the previous release, or without estimates, sends none.
        message = reply.get("plain_capacity")
        if self.learned is None or not message:
            return
        relays = reply.get("capacity_relays", 1)
        try:
            self.learned.update_shared(message, relays, self._clock.now())
        except ValueError as exc:
            self._refuse("coordinator", exc)

    def forget(self, endpoint_id: str) -> None:
        """Drop what this relay knows of an endpoint that restarted."""
        if self.learned is not None:
            self.learned.forget(endpoint_id)

    def retain_listed(self) -> None:
        """Drop what this relay knows of endpoints that are no longer listed."""
        if self.learned is not None:
            self.learned.retain_only(self._view.members)

    # --- coordinator ---------------------------------------------------------------
    def begin(self) -> None:
        """Drop the reports and estimates of an earlier time as coordinator."""
        self._shared.clear()

    def exchange(self, message: ExchangeMessage, period: float) -> CapacityTable:
        """Add a relay's report to the sums, and return the estimates for its reply.

        ``period`` is the time between two reports of a relay, seconds: those that did
        not report for longer leave the sums.
        """
        if self.learned is None:
            return {}
        now, node = self._clock.now(), message["node"]
        self._record(message, now)
        self._shared.drop_older(now - ReportPacing(period).relay_timeout)
        return self._shared.estimates_for(node, self._view.members, now)

    @property
    def relays(self) -> int:
        """How many relays' reports are part of the sums."""
        return self._shared.relays

    def _record(self, message: ExchangeMessage, now: float) -> None:
        node = message["node"]
        # A relay of the previous release reports no samples, but its load.
        table = message.get("plain_capacity")
        if table:
            try:
                self._shared.record(node, decode_samples(table), now)
            except ValueError as exc:
                self._refuse(node, exc)
            return
        members = self._view.members
        running = {
            members[endpoint_id].process: count
            for endpoint_id, count in decode_running(message["loads"]).items()
            if endpoint_id in members
        }
        self._shared.record_legacy(node, running, now)

    def _refuse(self, source: str, error: ValueError) -> None:
        """Log and count a message that is not applied."""
        self._metrics.count(Event.CAPACITIES_REFUSED)
        logger.warning("Capacities refused.", source=source, reason=str(error))

    def _report_change(self, change: EstimateChange) -> None:
        self._metrics.count(Event.CAPACITY_CHANGED)
        logger.info(
            "Endpoint's capacity.",
            endpoint=change.process.endpoint_id,
            born=change.process.incarnation,
            old_s=round(change.old[0], 4),
            new_s=round(change.new[0], 4),
            old_concurrency=round(change.old[1], 1),
            new_concurrency=round(change.new[1], 1),
            answers_per_s=round(change.samples, 1),
            age_s=round(change.age_s, 2),
        )
