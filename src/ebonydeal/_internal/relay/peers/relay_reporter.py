"""Builds a relay's reports to the coordinator, and applies the replies."""

from typing import NamedTuple

from ebonydeal._internal.relay.capacity.plain_exchange import PlainCapacityExchange
from ebonydeal._internal.relay.capacity.speed_exchange import SpeedReporter
from ebonydeal._internal.relay.crashes.suspects import Suspects
from ebonydeal._internal.relay.limits.client import LimitsClient
from ebonydeal._internal.relay.limits.share_gate import ShareGate
from ebonydeal._internal.relay.links.monitor import LinkMonitor
from ebonydeal._internal.relay.peers.messages import ExchangeMessage, ExchangeReply
from ebonydeal._internal.relay.peers.relay_reports import addresses_hash
from ebonydeal._internal.relay.peers.rollouts import RolloutReceiver
from ebonydeal._internal.relay.requests.quota import QuotaLimiter
from ebonydeal._internal.relay.requests.usage import UsageMeter
from ebonydeal._internal.relay.view.deltas import DeltaReceiver
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.notices.endpoint_notices import EndpointNotices
from ebonydeal._internal.routing.placement.endpoint_load import ReportedLoad
from ebonydeal._internal.routing.placement.endpoint_selector import EndpointSelector
from ebonydeal._internal.routing.placement.failure_rates import FailureRates
from ebonydeal._internal.routing.retries.retries import RetryPolicy
from ebonydeal._internal.routing.rollout.traffic_split import TrafficSplit
from ebonydeal._internal.utils.clock import Clock

# Less work than this of a service isn't reported, in endpoints kept busy.
_MIN_WORK = 0.0005


class ReporterParts(NamedTuple):
    """The relay's identity, and the sources of its reports."""

    node: str
    incarnation: str
    usage: UsageMeter
    selector: EndpointSelector
    quota: QuotaLimiter
    limits: LimitsClient
    failure_rates: FailureRates
    suspects: Suspects
    split: TrafficSplit
    rollouts: RolloutReceiver
    notices: EndpointNotices
    retries: RetryPolicy
    deltas: DeltaReceiver
    links: LinkMonitor
    view: RelayView
    clock: Clock
    engine_speeds: SpeedReporter
    plain_capacity: PlainCapacityExchange
    # None where `fair_shares` is off.
    shares: ShareGate | None = None


class RelayReporter:
    """Builds reports, and applies the replies.

    Attributes
    ----------
    address : str
        Where other relays reach this one.
    leaving : bool
        Whether this relay is stopping.
    """

    def __init__(self, parts: ReporterParts, address: str) -> None:
        self._parts = parts
        self.address = address
        self.leaving = False
        self._reported = -1
        self._was_behind = False
        # Whether the lease holder has answered the request for a start's retries.
        self._start_retry_answered = False

    def build_report(self, relays: list[str]) -> ExchangeMessage:
        """Return the report; ``relays`` are the addresses of the known relays."""
        parts = self._parts
        now = parts.clock.now()
        message = ExchangeMessage(
            node=parts.node,
            incarnation=parts.incarnation,
            address=self.address,
            known=addresses_hash(relays),
            wall=parts.clock.wall(),
            windows=parts.usage.to_message(self._reported + 1),
            loads={
                endpoint_id: [load.running, round(load.pending_prefill_tokens)]
                for endpoint_id, load in parts.selector.own_loads().items()
            },
            demand=parts.quota.demand(now),
            work={
                name: round(value, 4)
                for name, value in parts.selector.work_rates(now).items()
                if value >= _MIN_WORK
            },
            answers=parts.failure_rates.own_counts(now),
            leaving=self.leaving,
            seen=list(parts.deltas.last_mark),
            crashes_mark=parts.suspects.fingerprint,
            crashes=parts.suspects.evidence_for_coordinator(),
            rollouts=parts.split.tallies(now),
            limits=parts.limits.share_report(),
            notices=[r.encode() for r in parts.notices.limit_reports(now, own=True)],
            said_leaving=parts.notices.leaving_reports(now),
            links_down=parts.links.down(),
            reported=self._reported,
            wants_start_retry=not self._start_retry_answered,
            plain_capacity=parts.plain_capacity.report(),
            engine_speeds=parts.engine_speeds.report(),
        )
        if parts.shares is not None:
            message["offered"] = parts.shares.offered()
        return message

    def apply_reply(self, reply: ExchangeReply, asked_at: float) -> bool:
        """Apply the reply to the report that was sent at ``asked_at``.

        Returns whether this relay's list of endpoints is behind.
        """
        parts = self._parts
        now = parts.clock.now()
        if reply["news"] is not None:
            parts.deltas.receive(reply["news"])
        self._reported = max(self._reported, reply["reported"])
        parts.selector.update_reported_loads(
            {
                endpoint_id: ReportedLoad(int(load[0]), float(load[1]), now)
                for endpoint_id, load in reply["loads"].items()
            }
        )
        parts.failure_rates.update_reported_counts(reply.get("answers", {}), now)
        # A coordinator of the previous release sends no shares and no crashes.
        if "limits" in reply:
            parts.limits.on_reply(reply["limits"], asked_at)
        else:
            parts.limits.on_legacy_reply(reply["grants"], asked_at)
        mark, crashes = reply.get("crashes_mark", ""), reply.get("crashes")
        parts.suspects.apply_reply(mark, crashes, "coordinator")
        self._apply_start_retry(reply)
        parts.plain_capacity.apply_reply(reply)
        parts.notices.merge_limits(reply.get("notices", []), asked_at)
        parts.notices.merge_leaving(reply.get("said_leaving", []), asked_at)
        if parts.shares is not None:
            parts.shares.apply_reply(reply.get("shares"), asked_at)
        # A coordinator of the previous release sends none.
        parts.engine_speeds.apply(reply.get("engine_speeds"))
        behind = reply["members"] > parts.view.last_change
        rollouts = reply.get("rollouts")
        if rollouts is not None:
            parts.rollouts.receive(rollouts)
        # Only if twice in a row: usually a delta is just on its way to this relay.
        twice = behind and self._was_behind
        self._was_behind = behind
        return twice

    def _apply_start_retry(self, reply: ExchangeReply) -> None:
        """Apply the lease holder's first answer; later ones are for later starts."""
        if self._start_retry_answered or not reply["holds"]:
            return
        self._start_retry_answered = True
        # A holder of the previous release allots none.
        if reply.get("start_retry", False):
            self._parts.retries.add_initial_retries(1.0)
