"""Roll-outs at the coordinator: applies orders and reports, and sends gates to relays.

`routing/rollout/rollout_state.py` makes the decisions; `rollout_store.py` persists what
must survive this process.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import Phase, RolloutGate, RolloutOrder
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.coordinator import Coordinator
from ebonydeal._internal.relay.duties.rollout_registry import RolloutRegistry
from ebonydeal._internal.relay.duties.rollout_run import RolloutRun
from ebonydeal._internal.relay.duties.rollout_store import RolloutStore
from ebonydeal._internal.relay.peers.messages import (
    ROLLOUTS,
    ExchangeMessage,
    RolloutsMessage,
)
from ebonydeal._internal.relay.peers.rollouts import encode_gates
from ebonydeal._internal.relay.ports import SharedStore, Wire
from ebonydeal._internal.relay.view.view import MISSING_GRACE_S, RelayView
from ebonydeal._internal.routing.rollout.rollout_state import (
    Complete,
    Continue,
    RollBack,
    RolloutConfig,
    RolloutState,
    ServiceEndpoints,
    Verdict,
)
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.rollout")

_STEP_INTERVAL_S = 0.2
_CALL_TIMEOUT_S = 0.4
# Time until a change reaches relays, in addition to the period of their reports.
_DELIVERY_S = 0.1
# The requests counted so far are persisted at this interval.
_PERSIST_INTERVAL_S = 1.0
# Old endpoints that don't answer, but are still listed after a restore, are removed by
# then.
_MAX_RECOVERY_S = 5.0
# Endpoints that are slow after their start get no requests until they are warm, except
# in this last fraction of the order's time.
_IGNORE_WARMING_FRACTION = 0.3


class RolloutParts(NamedTuple):
    """Dependencies of `Rollouts`."""

    coordinator: Coordinator
    view: RelayView
    wire: Wire
    store: SharedStore
    client: PeerClient
    metrics: Metrics
    clock: Clock


class Rollouts(SupervisedService):
    """Runs all roll-outs while this relay holds the coordinator's lease.

    Parameters
    ----------
    parts : RolloutParts
        Dependencies.
    config : RolloutConfig
        Thresholds of the verdict and plan of the exposure.
    """

    def __init__(self, parts: RolloutParts, config: RolloutConfig) -> None:
        super().__init__()
        self._parts = parts
        self._registry = RolloutRegistry(config)
        self.store = RolloutStore(
            parts.store, parts.wire, self._registry, parts.view, parts.clock
        )
        # When each new endpoint was first seen here.
        self._first_seen: dict[str, float] = {}
        self._persisted_at = 0.0
        # Makes the next renewal of the lease come soon, with the pending writes.
        self.write_soon: Callable[[], None] = lambda: None
        # Applies gates at this relay itself.
        self.on_gates: Callable[[RolloutsMessage], object] = lambda _message: None

    # --- output -------------------------------------------------------------------
    def gates(self) -> list[RolloutGate] | None:
        """Return the gates that relays get; None while this relay doesn't decide."""
        decides = self.store.loaded and self._parts.coordinator.holds
        return self._registry.gates() if decides else None

    def message(self) -> RolloutsMessage | None:
        """Return the message to a relay with the reply to its report."""
        gates = self.gates()
        if gates is None:
            return None
        return encode_gates(gates, self._parts.view.versions.read_to)

    def target_version(self, service: str) -> str | None:
        """Return the target version of a service's roll-out under way, or None."""
        run = self._registry.runs.get(service)
        return (
            run.state.order.target_version
            if run is not None and run.is_running
            else None
        )

    def report(self) -> list[dict[str, Any]]:
        """Return the state of all roll-outs, for operators."""
        return [
            self._report(service, run) for service, run in self._registry.runs.items()
        ]

    def _report(self, service: str, run: RolloutRun) -> dict[str, Any]:
        evidence = run.evidence_summary
        shares = {}
        match run.verdict:
            case Continue():
                shares = run.verdict.shares
        return {
            "service": service,
            "to": run.state.order.target_version,
            "phase": str(run.state.phase),
            "left_s": round(run.state.deadline - self._parts.clock.now(), 3),
            "evidence": round(evidence.total, 2),
            "route": evidence.worst_route,
            "shares": shares,
            "barred": sorted(self._registry.barred_versions(service)),
            **run.counts(),
        }

    async def _send_gates(self) -> None:
        """Send gates to all relays now; a relay also gets them with its next reply."""
        message = self.message()
        if message is None:
            return
        self.on_gates(message)
        targets = self._parts.coordinator.delta_targets()
        if targets is not None:
            await asyncio.gather(*(self._send_gates_to(a, message) for a in targets[0]))

    async def _send_gates_to(self, address: str, message: RolloutsMessage) -> None:
        try:
            await self._parts.client.call(address, ROLLOUTS, message, _CALL_TIMEOUT_S)
        except EbonydealError as exc:
            logger.info("Gates not delivered.", peer=address, reason=str(exc))

    # --- steps -----------------------------------------------------------------------
    @supervised_task
    async def _run(self) -> None:
        coordinator = self._parts.coordinator
        while not self.should_stop:
            await self._parts.clock.sleep(_STEP_INTERVAL_S)
            if not coordinator.holds:
                if self.store.loaded and not coordinator.lease.is_mine:
                    self.store.lost()
            elif self.store.loaded and self.step():
                await self._send_gates()

    def step(self) -> bool:
        """Apply orders and reports, and decide; return whether any gate changed."""
        before = self.gates()
        self._apply_orders()
        now = self._parts.clock.now()
        running = [run for run in self._registry.runs.values() if run.is_running]
        for run in running:
            self._step_one(run, now)
        if running and now - self._persisted_at >= _PERSIST_INTERVAL_S:
            self._persisted_at = now
            self.store.changed()
        return self.gates() != before

    def _step_one(self, run: RolloutRun, now: float) -> None:
        """Apply the reports on one roll-out, and decide."""
        reports = self._parts.coordinator.live_reports()
        endpoints = self._endpoints(run.state, reports, now)
        match run.applied_verdict(reports):
            case Phase.COMPLETED:
                self._finish(run, Complete(0))
                return
            case Phase.ROLLED_BACK:
                self._finish(run, RollBack("decided before", run.evidence_summary))
                return
        if run.recovering_since is not None and not self._recover(run, reports, now):
            return
        run.is_loaded = False
        run.add_reports(reports, not endpoints.old, now)
        lag = self._parts.coordinator.period + _DELIVERY_S
        verdict = run.state.decide(endpoints, lag, now)
        match verdict:
            case Continue():
                self._continue(run, verdict, endpoints)
            case Complete() | RollBack():
                self._finish(run, verdict)

    def _apply_orders(self) -> None:
        """Start new orders, and roll back withdrawn ones."""
        orders = self._parts.view.versions.listed_orders()
        for service, run in self._registry.runs.items():
            if service not in orders and run.is_running:
                self._finish(run, RollBack("withdrawn", run.evidence_summary))
        for order in orders.values():
            if self._registry.is_new(order):
                self._start(order)
            elif self._registry.adopt(order):
                run = self._registry.runs[order.service]
                if run.is_loaded and run.is_running:
                    self._begin_recovery(run)
                self.store.changed()

    def _start(self, order: RolloutOrder) -> None:
        # Forget endpoints that aren't listed any more.
        members = self._parts.view.members
        self._first_seen = {e: at for e, at in self._first_seen.items() if e in members}
        # Another relay may know the order, and entries may be missing after an outage.
        is_settled = self._parts.coordinator.warmed_up
        target = {order.target_version}
        listed, before = self._listed_versions(order), self._versions_before(order)
        if before == target and not (is_settled and listed == target):
            # After a restore, endpoints may be listed before an order that they follow.
            before = listed - target
        run = self._registry.start(order, before, self._parts.clock.now())
        logger.info(
            "Roll-out ordered.",
            service=order.service,
            to=order.target_version,
            duration_s=order.duration,
            revision=order.revision,
            own=sorted(self._registry.current[order.service]),
            barred=sorted(self._registry.barred_versions(order.service)),
        )
        if run.is_running and not (is_settled and listed != target):
            self._begin_recovery(run)
        self._request_write()

    def _begin_recovery(self, run: RolloutRun) -> None:
        """Find out whether a roll-out has a verdict that the store doesn't have."""
        run.recovering_since = self._parts.clock.now()
        logger.info(
            "Roll-out waits for a verdict that relays may know.",
            service=run.state.order.service,
            to=run.state.order.target_version,
            revision=run.state.order.revision,
        )

    def _recover(
        self, run: RolloutRun, reports: list[ExchangeMessage], now: float
    ) -> bool:
        """Return whether a roll-out goes on whose verdict may be lost.

        Relays first report the verdict, if they know it. If only the target version is
        listed, it was completed: there is nothing to compare it with, and a rollback
        would leave the service without endpoints.
        """
        assert run.recovering_since is not None
        elapsed = now - run.recovering_since
        order = run.state.order
        if not self._parts.coordinator.warmed_up:
            return False
        if self._listed_versions(order) == {order.target_version}:
            # Entries of old endpoints may have expired in an outage of the store.
            if elapsed >= MISSING_GRACE_S:
                logger.warning(
                    "Only the new version is listed.",
                    service=order.service,
                    to=order.target_version,
                    waited_s=round(elapsed, 3),
                )
                self._finish(run, Complete(0))
            return False
        if elapsed < _MAX_RECOVERY_S and not run.has_old_answers(reports):
            return False
        run.recovering_since = None
        logger.info(
            "Roll-out continues without a verdict.",
            service=order.service,
            to=order.target_version,
            waited_s=round(elapsed, 3),
        )
        return True

    def _listed_versions(self, order: RolloutOrder) -> set[str]:
        """Return the versions of a service's endpoints that aren't barred."""
        barred = self._registry.barred_versions(order.service)
        listed = {
            member.version
            for member in self._parts.view.members.values()
            if member.service == order.service
        }
        return listed - barred

    def _versions_before(self, order: RolloutOrder) -> set[str]:
        """Return the versions of endpoints that were listed before an order."""
        view = self._parts.view
        # Endpoints keep the version of the era in which they were first listed.
        ordered_at = view.versions.orders[order.service].revision
        return {
            member.version
            for member in view.members.values()
            if member.service == order.service
            and view.versions.first_listed(member.endpoint_id) < ordered_at
        }

    def _endpoints(
        self, state: RolloutState, reports: list[ExchangeMessage], now: float
    ) -> ServiceEndpoints:
        """Return the endpoints that may get requests, and what is in flight there."""
        order = state.order
        barred = self._registry.barred_versions(order.service)
        listed = self._parts.view.of_service(order.service)
        others = [m for m in listed if m.version != order.target_version]
        old = tuple(m.endpoint_id for m in others if m.version not in barred)
        late = state.deadline - now < order.duration * _IGNORE_WARMING_FRACTION
        new = tuple(
            m.endpoint_id
            for m in listed
            if m.version == order.target_version
            and (late or not self._is_warming(m, now))
        )
        loads = [report["loads"] for report in reports]
        in_flight = sum(int(load[e][0]) for load in loads for e in old if e in load)
        return ServiceEndpoints(old, new, in_flight)

    def _is_warming(self, member: Member, now: float) -> bool:
        """Return whether an endpoint is still slow after its start."""
        seen = self._first_seen.setdefault(member.endpoint_id, now)
        return now - seen < member.warmup_left

    def _continue(
        self, run: RolloutRun, verdict: Continue, endpoints: ServiceEndpoints
    ) -> None:
        """Set new shares; log when the last stage begins or is cancelled."""
        was_full = isinstance(run.verdict, Continue) and run.verdict.full
        run.verdict = verdict
        if verdict.full == was_full:
            return
        logger.info(
            "All requests to the new version."
            if verdict.full
            else "New version gets a part of the requests again.",
            service=run.state.order.service,
            to=run.state.order.target_version,
            evidence=round(run.evidence_summary.total, 2),
            old=len(endpoints.old),
            new=len(endpoints.new),
            running=endpoints.old_in_flight,
            **run.counts(),
        )

    def _finish(self, run: RolloutRun, verdict: Verdict) -> None:
        """Set a final verdict, and write the status with the next renewal."""
        order = run.state.order
        self._registry.finish(run, verdict)
        match verdict:
            case Complete(old_in_flight=old_in_flight):
                self._parts.metrics.count(Event.ROLLOUTS_COMPLETED)
                logger.info(
                    "Roll-out completed.",
                    service=order.service,
                    to=order.target_version,
                    left_s=round(run.state.deadline - self._parts.clock.now(), 3),
                    cut=old_in_flight,
                    **run.counts(),
                )
            case RollBack(reason=reason, evidence=evidence):
                self._parts.metrics.count(Event.ROLLOUTS_ROLLED_BACK)
                logger.warning(
                    "Roll-out rolled back.",
                    service=order.service,
                    to=order.target_version,
                    reason=reason,
                    evidence=round(evidence.total, 2),
                    without_loudest=round(evidence.total_without_worst, 2),
                    route=evidence.worst_route,
                    **run.counts(),
                )
        self._request_write()

    def _request_write(self) -> None:
        self.store.changed()
        self.write_soon()
