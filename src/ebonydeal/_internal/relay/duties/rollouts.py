"""Roll-outs at the coordinator: orders taken, reports summed, relays told.

The decision is `routing/rollout/course.py`; `rollout_store.py` keeps what must outlast
this process.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import Phase, RolloutGate, RolloutOrder
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.coordinator import Coordinator
from ebonydeal._internal.relay.duties.rollout_book import RolloutBook
from ebonydeal._internal.relay.duties.rollout_run import RolloutRun
from ebonydeal._internal.relay.duties.rollout_store import RolloutStore
from ebonydeal._internal.relay.peers.messages import (
    ROLLOUTS,
    ExchangeMessage,
    RolloutsMessage,
)
from ebonydeal._internal.relay.peers.rollouts import gates_message
from ebonydeal._internal.relay.ports import SharedStore, Wire
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.rollout.course import (
    Complete,
    Continue,
    Course,
    Fleet,
    RollBack,
    Terms,
    Verdict,
)
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient

logger = get_logger("relay.rollout")

_STEP_S = 0.2
_CALL_S = 0.4
# A change reaches relays after this, besides the period of their reports, seconds.
_WAY_S = 0.1
# What is spent of the bound is written so often, seconds.
_KEEP_S = 1.0
# Endpoints that start slow get no request before that is over, but for this last part
# of the order's time.
_LAST_PART = 0.3


class RolloutParts(NamedTuple):
    """What roll-outs are carried out with."""

    coordinator: Coordinator
    view: RelayView
    wire: Wire
    store: SharedStore
    client: PeerClient
    metrics: Metrics
    clock: Clock


class Rollouts(Service):
    """All roll-outs, while this relay holds the lease.

    Parameters
    ----------
    parts : RolloutParts
        The outside.
    terms : Terms
        Terms of verdict and exposure.
    """

    def __init__(self, parts: RolloutParts, terms: Terms) -> None:
        super().__init__()
        self._parts = parts
        self._book = RolloutBook(terms)
        self.kept = RolloutStore(
            parts.store, parts.wire, self._book, parts.view, parts.clock
        )
        # When each new endpoint was first seen here.
        self._seen: dict[str, float] = {}
        self._kept_at = 0.0
        # Called when something is to be written soon.
        self.write_soon: Callable[[], None] = lambda: None
        # Takes gates at this relay itself.
        self.on_gates: Callable[[RolloutsMessage], object] = lambda _message: None

    # --- what others are told -------------------------------------------------
    def gates(self) -> list[RolloutGate] | None:
        """Return what relays are told; None while this relay doesn't decide."""
        decides = self.kept.known and self._parts.coordinator.holds
        return self._book.gates() if decides else None

    def message(self) -> RolloutsMessage | None:
        """Return what a relay is told with its exchange."""
        gates = self.gates()
        if gates is None:
            return None
        return gates_message(gates, self._parts.view.versions.read_to)

    def rolling(self, service: str) -> str | None:
        """Return the version that a service's roll-out under way is to, or None."""
        run = self._book.runs.get(service)
        return (
            run.course.order.target_version
            if run is not None and run.is_running
            else None
        )

    def report(self) -> list[dict[str, Any]]:
        """Return what operators are shown of roll-outs."""
        return [self._report(service, run) for service, run in self._book.runs.items()]

    def _report(self, service: str, run: RolloutRun) -> dict[str, Any]:
        standing = run.standing
        shares = {}
        match run.verdict:
            case Continue():
                shares = run.verdict.shares
        return {
            "service": service,
            "to": run.course.order.target_version,
            "phase": str(run.course.phase),
            "left_s": round(run.course.until - self._parts.clock.now(), 3),
            "evidence": round(standing.total, 2),
            "route": standing.route,
            "shares": shares,
            "barred": sorted(self._book.barred_of(service)),
            **run.spent(),
        }

    async def _push(self) -> None:
        """Tell all relays now; who misses it hears it with its next exchange."""
        message = self.message()
        if message is None:
            return
        self.on_gates(message)
        listeners = self._parts.coordinator.listeners()
        if listeners is not None:
            await asyncio.gather(*(self._push_one(a, message) for a in listeners[0]))

    async def _push_one(self, address: str, message: RolloutsMessage) -> None:
        try:
            await self._parts.client.call(address, ROLLOUTS, message, _CALL_S)
        except EbonydealError as exc:
            logger.info("Roll-out not told.", peer=address, reason=str(exc))

    # --- the steps -------------------------------------------------------------------
    @Service.task
    async def _run(self) -> None:
        coordinator = self._parts.coordinator
        while not self.should_stop:
            await self._parts.clock.sleep(_STEP_S)
            if not coordinator.holds:
                if self.kept.known and not coordinator.lease.mine:
                    self.kept.lost()
            elif self.kept.known and self.step():
                await self._push()

    def step(self) -> bool:
        """Take orders and reports, and decide; return whether relays must know now."""
        before = self.gates()
        self._take_orders()
        now = self._parts.clock.now()
        running = [run for run in self._book.runs.values() if run.is_running]
        for run in running:
            self._step_one(run, now)
        if running and now - self._kept_at >= _KEEP_S:
            self._kept_at = now
            self.kept.changed()
        return self.gates() != before

    def _step_one(self, run: RolloutRun, now: float) -> None:
        """Take reports on one roll-out, and decide."""
        words = self._parts.coordinator.heard_lately()
        fleet = self._fleet(run.course, words, now)
        match run.decided_before(words):
            case Phase.COMPLETED:
                self._end(run, Complete(0))
                return
            case Phase.ROLLED_BACK:
                self._end(run, RollBack("decided before", run.standing))
                return
        run.hear(words, not fleet.old, now)
        lag = self._parts.coordinator.period + _WAY_S
        verdict = run.course.decide(fleet, lag, now)
        match verdict:
            case Continue():
                self._go_on(run, verdict, fleet)
            case Complete() | RollBack():
                self._end(run, verdict)

    def _take_orders(self) -> None:
        """Begin what was ordered, and end what was withdrawn."""
        orders = self._parts.view.versions.orders
        for service, run in self._book.runs.items():
            if service not in orders and run.is_running:
                self._end(run, RollBack("withdrawn", run.standing))
        for order in orders.values():
            if self._book.is_news(order):
                self._begin(order)

    def _begin(self, order: RolloutOrder) -> None:
        # Endpoints come and go for long: those that are gone are forgotten.
        members = self._parts.view.members
        self._seen = {e: at for e, at in self._seen.items() if e in members}
        before = self._versions_before(order)
        self._book.begin(order, before, self._parts.clock.now())
        logger.info(
            "Roll-out ordered.",
            service=order.service,
            to=order.target_version,
            duration_s=order.duration,
            revision=order.revision,
            own=sorted(self._book.own[order.service]),
            barred=sorted(self._book.barred_of(order.service)),
        )
        self._note_write()

    def _versions_before(self, order: RolloutOrder) -> set[str]:
        """Return the versions of endpoints that were listed before an order."""
        view = self._parts.view
        return {
            member.version
            for member in view.members.values()
            if member.service == order.service
            and view.versions.first_listed(member.endpoint_id) < order.revision
        }

    def _fleet(self, course: Course, words: list[ExchangeMessage], now: float) -> Fleet:
        """Return the endpoints that the decision rests on, and what runs there."""
        order = course.order
        barred = self._book.barred_of(order.service)
        listed = self._parts.view.of_service(order.service)
        others = [m for m in listed if m.version != order.target_version]
        old = tuple(m.endpoint_id for m in others if m.version not in barred)
        late = course.until - now < order.duration * _LAST_PART
        new = tuple(
            m.endpoint_id
            for m in listed
            if m.version == order.target_version
            and (late or not self._starts_slow(m, now))
        )
        loads = [word["loads"] for word in words]
        running = sum(int(load[e][0]) for load in loads for e in old if e in load)
        return Fleet(old, new, running)

    def _starts_slow(self, member: Member, now: float) -> bool:
        """Return whether an endpoint is still slow after its start."""
        seen = self._seen.setdefault(member.endpoint_id, now)
        return now - seen < member.warmup_left

    def _go_on(self, run: RolloutRun, verdict: Continue, fleet: Fleet) -> None:
        """Take new shares; log where the last step begins or is taken back."""
        was_full = isinstance(run.verdict, Continue) and run.verdict.full
        run.verdict = verdict
        if verdict.full == was_full:
            return
        logger.info(
            "All requests to the new version."
            if verdict.full
            else "Back to a part of the requests.",
            service=run.course.order.service,
            to=run.course.order.target_version,
            evidence=round(run.standing.total, 2),
            old=len(fleet.old),
            new=len(fleet.new),
            running=fleet.old_running,
            **run.spent(),
        )

    def _end(self, run: RolloutRun, verdict: Verdict) -> None:
        """Make a verdict final: for relays at once, for operators with the lease."""
        order = run.course.order
        self._book.end(run, verdict)
        match verdict:
            case Complete(cut=cut):
                self._parts.metrics.count(Event.ROLLOUTS_COMPLETED)
                logger.info(
                    "Roll-out completed.",
                    service=order.service,
                    to=order.target_version,
                    left_s=round(run.course.until - self._parts.clock.now(), 3),
                    cut=cut,
                    **run.spent(),
                )
            case RollBack(reason=reason, standing=standing):
                self._parts.metrics.count(Event.ROLLOUTS_ROLLED_BACK)
                logger.warning(
                    "Roll-out rolled back.",
                    service=order.service,
                    to=order.target_version,
                    reason=reason,
                    evidence=round(standing.total, 2),
                    without_loudest=round(standing.without, 2),
                    route=standing.route,
                    **run.spent(),
                )
        self._note_write()

    def _note_write(self) -> None:
        self.kept.changed()
        self.write_soon()
