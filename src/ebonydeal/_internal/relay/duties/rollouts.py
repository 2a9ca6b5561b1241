"""Roll-outs at the coordinator: orders taken, evidence summed, verdicts kept.

The decision is `routing/rollout/course.py`. Here relays' counts are added up, gates are
told to all relays at once, and what must outlast this process is written together with
a renewal of the lease: so a holder that was replaced writes no verdict, and of two that
believe to hold the lease one decides.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from zlib import compress, decompress
from zlib import error as BadCompression

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import Gate, Phase, RolloutOrder
from ebonydeal._internal.models.shared import RowChange
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.duties.coordinator import Coordinator
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
from ebonydeal._internal.routing.rollout.split import TallyMessage
from ebonydeal._internal.routing.rollout.tally import Counts, empty, less
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient

logger = get_logger("relay.rollout")

ROLLOUTS_TABLE = "ebonydeal-rollouts"
_KEY = "memory"
_STEP_S = 0.2
_CALL_S = 0.4
# A change reaches relays after this, besides the period of their reports, seconds.
_WAY_S = 0.1
# What is spent of the bound is written so often, seconds.
_KEEP_S = 1.0
# Well below what a row may hold.
_MOST_BYTES = 48_000
# Endpoints that start slow get no request before that is over, but for this last part
# of the order's time.
_LAST_PART = 0.3
_UNREADABLE = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
    BadCompression,
)


class RolloutParts(NamedTuple):
    """What roll-outs are carried out with."""

    coordinator: Coordinator
    view: RelayView
    wire: Wire
    store: SharedStore
    client: PeerClient
    metrics: Metrics
    clock: Clock


class _Counted(NamedTuple):
    """What one relay told last: requests and exposed ones by route, and answers."""

    requests: dict[str, int]
    exposed: int
    old: dict[str, Counts]
    new: dict[str, dict[str, Counts]]


_NOTHING = _Counted({}, 0, {}, {})


@dataclass
class _Run:
    """One roll-out at the coordinator.

    ``told`` by relay and incarnation; ``kept`` the totals that the holder before wrote
    of those not heard here yet.
    """

    course: Course
    verdict: Verdict = field(default_factory=lambda: Continue({}, ()))
    told: dict[str, _Counted] = field(default_factory=dict)
    kept: dict[str, tuple[int, int]] = field(default_factory=dict)
    status_due: bool = True


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
        self._terms = terms
        self._runs: dict[str, _Run] = {}
        # Versions that get nothing, by service: rolled back, or given up midway.
        self._barred: dict[str, set[str]] = {}
        # Versions that are a service's own: there before its order, or completed.
        self._own: dict[str, set[str]] = {}
        # When each new endpoint was first seen here.
        self._seen: dict[str, float] = {}
        # Whether what the holder before kept was read.
        self.known = False
        self._dirty = False
        self._kept_at = 0.0
        self._writing: list[tuple[str, int, Phase]] = []
        # Called when something is to be written soon.
        self.write_soon: Callable[[], None] = lambda: None
        # Takes gates at this relay itself.
        self.on_gates: Callable[[RolloutsMessage], object] = lambda _message: None

    # --- what relays are told ------------------------------------------------------
    def gates(self) -> list[Gate] | None:
        """Return what relays are told; None while this relay doesn't decide."""
        if not self.known or not self._parts.coordinator.holds:
            return None
        return [
            run.course.gate(run.verdict, tuple(sorted(self._barred.get(service, ()))))
            for service, run in self._runs.items()
        ]

    def message(self) -> RolloutsMessage | None:
        """Return what a relay is told with its exchange."""
        gates = self.gates()
        if gates is None:
            return None
        return gates_message(gates, self._parts.view.versions.read_to)

    def rolling(self, service: str) -> str | None:
        """Return the version that a service's roll-out under way is to, or None."""
        run = self._runs.get(service)
        if run is None or run.course.phase is not Phase.RUNNING:
            return None
        return run.course.order.to

    def report(self) -> list[dict[str, Any]]:
        """Return what operators are shown of roll-outs."""
        return [
            {
                "service": service,
                "to": run.course.order.to,
                "phase": str(run.course.phase),
                "left_s": round(run.course.until - self._parts.clock.now(), 3),
                "evidence": round(_standing(run).total, 2),
                "route": _standing(run).route,
                "shares": dict(getattr(run.verdict, "shares", {})),
                "barred": sorted(self._barred.get(service, ())),
                **_spent(run),
            }
            for service, run in self._runs.items()
        ]

    async def _push(self) -> None:
        """Tell all relays now; who misses it hears it with its next exchange."""
        gates = self.gates()
        listeners = self._parts.coordinator.listeners()
        if gates is None or listeners is None:
            return
        message = gates_message(gates, self._parts.view.versions.read_to)
        self.on_gates(message)
        await asyncio.gather(*(self._push_one(a, message) for a in listeners[0]))

    async def _push_one(self, address: str, message: Any) -> None:
        try:
            await self._parts.client.call(address, ROLLOUTS, message, _CALL_S)
        except EbonydealError as exc:
            logger.info("Roll-out not told.", peer=address, reason=str(exc))

    # --- what outlasts this process --------------------------------------------------
    def lost(self) -> None:
        """Forget all: another holds the lease, and has what was written."""
        self.known = False
        self._runs.clear()
        self._barred.clear()
        self._own.clear()

    async def read(self) -> None:
        """Take what the holder before kept."""
        rows, _version = await self._parts.store.rows(ROLLOUTS_TABLE)
        for row in rows:
            if row.key != _KEY or row.value is None:
                continue
            try:
                self._take_memory(json.loads(decompress(row.value)))
            except _UNREADABLE as exc:
                logger.error("Stored roll-outs can't be read.", reason=repr(exc))
        await self._read_status()
        self.known = True

    def _take_memory(self, memory: Any) -> None:
        ahead, now = self._parts.store.ahead, self._parts.clock.now()
        for service, kept in memory["runs"].items():
            order = RolloutOrder(
                str(service),
                str(kept["to"]),
                float(kept["duration"]),
                int(kept["revision"]),
            )
            # By the store's clock, which all holders read alike.
            until = min(float(kept["until"]) - ahead, now + order.duration)
            run = _Run(Course(order, until, self._terms))
            run.course.phase = Phase(kept["phase"])
            run.kept = {
                str(relay): (int(counts[0]), int(counts[1]))
                for relay, counts in kept["spent"].items()
            }
            requests = sum(counts[0] for counts in run.kept.values())
            exposed = sum(counts[1] for counts in run.kept.values())
            run.course.requests, run.course.exposed = requests, exposed
            run.status_due = run.course.phase is not Phase(kept["written"])
            self._runs[order.service] = run
        for service, versions in memory["barred"].items():
            self._barred[str(service)] = set(map(str, versions))
        for service, versions in memory["own"].items():
            self._own[str(service)] = set(map(str, versions))

    async def _read_status(self) -> None:
        """Take verdicts that operators were told of orders that nothing was kept of."""
        unknown = {
            service: order
            for service, order in self._parts.view.versions.orders.items()
            if service not in self._runs
            or self._runs[service].course.order.revision < order.revision
        }
        if not unknown:
            return
        rows, _version = await self._parts.store.rows(self._parts.wire.status_table)
        for row in rows:
            service = self._parts.wire.rollout_service(row.key)
            order = unknown.get(service or "")
            if order is None or row.value is None or row.version < order.revision:
                continue
            try:
                phase, to = self._parts.wire.status(row)
            except EbonydealError as exc:
                logger.error("Status can't be read.", reason=str(exc))
                continue
            if to == order.to and phase is not Phase.RUNNING:
                run = self._begin(order)
                run.course.phase = phase
                run.status_due = False

    def changes(self) -> list[RowChange]:
        """Return the writes that are due with the next renewal of the lease."""
        if not self.known:
            return []
        due = [
            (service, run.course.order.revision, run.course.phase)
            for service, run in self._runs.items()
            if run.status_due
        ]
        self._writing = due
        changes = [
            self._parts.wire.status_change(
                service, phase, self._runs[service].course.order.to
            )
            for service, _revision, phase in due
        ]
        if due or self._dirty:
            value = compress(json.dumps(self._memory()).encode())
            if len(value) <= _MOST_BYTES:
                changes.append(RowChange(ROLLOUTS_TABLE, _KEY, value))
            else:
                logger.warning("Roll-outs are too large to keep.", size=len(value))
            self._dirty = False
        return changes

    def wrote(self) -> None:
        """Note that the last changes lie in the store."""
        for service, revision, phase in self._writing:
            run = self._runs.get(service)
            if run is None or run.course.order.revision != revision:
                continue
            if run.course.phase is phase:
                run.status_due = False
            logger.info(
                "Status of a roll-out written.", service=service, phase=str(phase)
            )
        self._writing = []

    def _memory(self) -> dict[str, Any]:
        ahead = self._parts.store.ahead
        runs = {}
        for service, run in self._runs.items():
            course = run.course
            spent = {relay: list(counts) for relay, counts in run.kept.items()}
            for relay, told in run.told.items():
                spent[relay] = [sum(told.requests.values()), told.exposed]
            runs[service] = {
                "to": course.order.to,
                "duration": course.order.duration,
                "revision": course.order.revision,
                "until": round(course.until + ahead, 3),
                "phase": str(course.phase),
                "written": str(course.phase),
                "spent": spent if course.phase is Phase.RUNNING else {},
            }
        return {
            "runs": runs,
            "barred": {s: sorted(v) for s, v in self._barred.items()},
            "own": {s: sorted(v) for s, v in self._own.items()},
        }

    # --- the steps -------------------------------------------------------------------
    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._parts.clock.sleep(_STEP_S)
            if not self._parts.coordinator.holds:
                if self.known and not self._parts.coordinator.lease.mine:
                    self.lost()
                continue
            if self.known and self.step():
                await self._push()

    def step(self) -> bool:
        """Take orders and reports, and decide; return whether relays must know now."""
        before = self.gates()
        self._take_orders()
        now = self._parts.clock.now()
        words = self._parts.coordinator.heard_lately()
        for service, run in self._runs.items():
            if run.course.phase is Phase.RUNNING:
                self._hear(service, run, words, now)
            if run.course.phase is Phase.RUNNING:
                self._decide(service, run, now)
        if self._runs and now - self._kept_at >= _KEEP_S:
            self._kept_at = now
            running = (r.course.phase is Phase.RUNNING for r in self._runs.values())
            self._dirty = self._dirty or any(running)
        return self.gates() != before

    def _take_orders(self) -> None:
        """Begin what was ordered, and end what was withdrawn or overtaken."""
        orders = self._parts.view.versions.orders
        for service, run in self._runs.items():
            if service not in orders and run.course.phase is Phase.RUNNING:
                self._end(service, run, RollBack("withdrawn", _standing(run)))
        for service, order in orders.items():
            known = self._runs.get(service)
            if known is None or known.course.order.revision < order.revision:
                self._begin(order)

    def _begin(self, order: RolloutOrder) -> _Run:
        """Begin an order; one that it overtakes is given up."""
        service = order.service
        known = self._runs.get(service)
        barred = self._barred.setdefault(service, set())
        if known is not None and known.course.phase is Phase.RUNNING:
            barred.add(known.course.order.to)
        own = self._own.setdefault(service, set())
        if not own:
            before = self._versions_before(order)
            own.update(before - {order.to} or before)
        # The operator's newest word goes before an older verdict.
        barred.discard(order.to)
        until = self._parts.clock.now() + order.duration
        run = self._runs[service] = _Run(Course(order, until, self._terms))
        if order.to in own:
            # Back to what the service runs: there is nothing to find out.
            run.course.phase = Phase.COMPLETED
            run.verdict = Complete(0)
        logger.info(
            "Roll-out ordered.",
            service=service,
            to=order.to,
            duration_s=order.duration,
            revision=order.revision,
            own=sorted(own),
            barred=sorted(barred),
        )
        self._note_write()
        return run

    def _versions_before(self, order: RolloutOrder) -> set[str]:
        """Return the versions of endpoints that were listed before an order."""
        view = self._parts.view
        return {
            member.version
            for member in view.members.values()
            if member.service == order.service
            and view.versions.first_listed(member.endpoint_id) < order.revision
        }

    def _hear(
        self, service: str, run: _Run, words: list[ExchangeMessage], now: float
    ) -> None:
        """Take what relays counted since they told last."""
        old: dict[str, Counts] = {}
        new: dict[str, dict[str, Counts]] = {}
        for word in words:
            tally = word.get("rollouts", {}).get(service)
            if tally is None or tally["revision"] != run.course.order.revision:
                continue
            if tally["phase"] != str(Phase.RUNNING):
                # The holder before decided, and relays act on it: it stands.
                self._adopt(service, run, Phase(tally["phase"]))
                return
            counter = f"{word['node']}/{word['incarnation']}"
            self._hear_one(run, counter, _counted(tally), old, new)
        if old or new:
            alone = not self._fleet(service, run.course, now).old
            run.course.evidence.add(old, new, now, alone)

    def _hear_one(
        self,
        run: _Run,
        counter: str,
        told: _Counted,
        old: dict[str, Counts],
        new: dict[str, dict[str, Counts]],
    ) -> None:
        """Add what one relay counted since it told last to ``old`` and ``new``."""
        last = run.told.get(counter, _NOTHING)
        run.told[counter] = told
        before = run.kept.pop(counter, None)
        requests = {
            route: max(0, count - last.requests.get(route, 0))
            for route, count in told.requests.items()
        }
        if before is not None:
            # The holder before counted so many of them.
            run.course.requests -= min(before[0], sum(requests.values()))
            run.course.exposed -= min(before[1], told.exposed)
        run.course.saw_requests(requests, max(0, told.exposed - last.exposed))
        for route, counts in told.old.items():
            fresh = less(counts, last.old.get(route, empty()))
            _add(old.setdefault(route, empty()), fresh)
        for route, by_endpoint in told.new.items():
            known = last.new.get(route, {})
            for endpoint_id, counts in by_endpoint.items():
                fresh = less(counts, known.get(endpoint_id, empty()))
                if any(fresh):
                    sums = new.setdefault(route, {})
                    _add(sums.setdefault(endpoint_id, empty()), fresh)

    def _adopt(self, service: str, run: _Run, phase: Phase) -> None:
        """Take a verdict that relays were told by the holder before."""
        run.course.phase = phase
        verdict: Verdict = Complete(0)
        if phase is Phase.ROLLED_BACK:
            verdict = RollBack("decided before", _standing(run))
        self._end(service, run, verdict)

    def _decide(self, service: str, run: _Run, now: float) -> None:
        """Ask for the verdict, and act on it."""
        fleet = self._fleet(service, run.course, now)
        lag = self._parts.coordinator.period + _WAY_S
        verdict = run.course.decide(fleet, lag, now)
        match verdict:
            case Continue(full=full):
                known = run.verdict
                was_full = isinstance(known, Continue) and known.full
                run.verdict = verdict
                if full != was_full:
                    self._log_step(service, run, fleet, full)
            case Complete() | RollBack():
                self._end(service, run, verdict)

    def _fleet(self, service: str, course: Course, now: float) -> Fleet:
        """Return the endpoints that the decision rests on."""
        view = self._parts.view
        barred = self._barred.get(service, set())
        to = course.order.to
        listed = view.of_service(service)
        old = tuple(
            m.endpoint_id for m in listed if m.version != to and m.version not in barred
        )
        late = course.until - now < course.order.duration * _LAST_PART
        new = tuple(
            m.endpoint_id
            for m in listed
            if m.version == to and (late or not self._starts_slow(m, now))
        )
        loads = [word["loads"] for word in self._parts.coordinator.heard_lately()]
        running = sum(int(load[e][0]) for load in loads for e in old if e in load)
        return Fleet(old, new, running)

    def _starts_slow(self, member: Member, now: float) -> bool:
        """Return whether an endpoint is still slow after its start."""
        seen = self._seen.setdefault(member.endpoint_id, now)
        return now - seen < member.warming

    def _end(self, service: str, run: _Run, verdict: Verdict) -> None:
        """Make a verdict final: for relays at once, for operators with the lease."""
        run.verdict = verdict
        order = run.course.order
        match verdict:
            case Complete(cut=cut):
                run.course.phase = Phase.COMPLETED
                self._own[service] = {order.to}
                self._parts.metrics.count(Event.ROLLOUTS_COMPLETED)
                logger.info(
                    "Roll-out completed.",
                    service=service,
                    to=order.to,
                    left_s=round(run.course.until - self._parts.clock.now(), 3),
                    cut=cut,
                    **_spent(run),
                )
            case RollBack(reason=reason, standing=standing):
                run.course.phase = Phase.ROLLED_BACK
                self._barred.setdefault(service, set()).add(order.to)
                self._parts.metrics.count(Event.ROLLOUTS_ROLLED_BACK)
                logger.warning(
                    "Roll-out rolled back.",
                    service=service,
                    to=order.to,
                    reason=reason,
                    evidence=round(standing.total, 2),
                    without_loudest=round(standing.without, 2),
                    route=standing.route,
                    **_spent(run),
                )
        run.status_due = True
        self._note_write()

    def _note_write(self) -> None:
        self._dirty = True
        self.write_soon()

    def _log_step(self, service: str, run: _Run, fleet: Fleet, full: bool) -> None:
        standing = _standing(run)
        logger.info(
            "All requests to the new version." if full else "Back to a share.",
            service=service,
            to=run.course.order.to,
            evidence=round(standing.total, 2),
            old=len(fleet.old),
            new=len(fleet.new),
            running=fleet.old_running,
            **_spent(run),
        )


def _standing(run: _Run) -> Any:
    return run.course.evidence.standing()


def _spent(run: _Run) -> dict[str, int]:
    """Return what a line says of the requests so far."""
    course = run.course
    return {
        "requests": int(course.requests),
        "exposed": int(course.exposed),
        "answers": course.evidence.answers,
        "failed": course.evidence.bad,
    }


def _counted(tally: TallyMessage) -> _Counted:
    return _Counted(
        {str(route): int(count) for route, count in tally["requests"].items()},
        sum(int(count) for count in tally["exposed"].values()),
        {route: list(counts) for route, counts in tally["old"].items()},
        {
            route: {e: list(counts) for e, counts in by_endpoint.items()}
            for route, by_endpoint in tally["new"].items()
        },
    )


def _add(sums: Counts, counts: Counts) -> None:
    for category, count in enumerate(counts):
        sums[category] += count
