"""Which version of a service one relay's request goes to, and what it counts of that.

Shares are kept by counting, not by chance: with hundreds of relays that each see a few
requests a second, chance would exceed the bound. Where a relay begins to count is
spread by its name, so that the sum over all relays is even, too.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count
from math import exp, log
from typing import NamedTuple, TypedDict

from xxhash import xxh3_64_intdigest

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.rollouts import Phase, RolloutGate, RolloutOrder
from ebonydeal._internal.routing.rollout.tally import (
    FAILED,
    Counts,
    category_of,
    empty,
)

_WHOLE = float(2**64)
# What is saved up for the new version where none of its endpoints could be asked.
_MOST_CREDIT = 2.0
# Answers in this category and above are late.
_SLOW = category_of(4.0, 1.0)
# An answer that takes so many times the usual is late, before it has come.
_LATE = 4.0
# Weight of one answer in the usual time of a route.
_LEARN = 0.05
# Added to times before they are compared, seconds: what a new connection and a busy
# instance add to a short answer isn't the version's.
_GRAIN_S = 0.01
# Sends that ended without a word, as of callers that left, are kept this long.
_KEPT_S = 5.0


class TallyMessage(TypedDict):
    """What one relay counted of one roll-out since it heard of it, in all.

    ``requests`` and ``exposed`` by route; ``old`` by route, ``new`` by route and
    endpoint: answers by category. ``phase`` is that of the gate it was told.
    """

    revision: int
    phase: str
    requests: dict[str, int]
    exposed: dict[str, int]
    old: dict[str, Counts]
    new: dict[str, dict[str, Counts]]


class Part(NamedTuple):
    """The endpoints that a request may go to, and whether they are new ones."""

    members: Sequence[Member]
    new: bool = False


class Awaited(NamedTuple):
    """An answer, or a stream's first event, that is waited for.

    Attributes
    ----------
    expected : float or None
        Seconds that it should take; None where only its kind is known.
    objective : float
        Seconds that its route aims at.
    sent_at : float
        When it was asked for.
    """

    service: str
    route: str
    member: Member
    expected: float | None
    objective: float
    sent_at: float


@dataclass
class _Wait:
    """One awaited answer: its usual time, whether it was counted, when it ended."""

    answer: Awaited
    usual: float
    counted: bool = False
    over_at: float | None = None


class _Watch:
    """One roll-out at one relay."""

    def __init__(self, order: RolloutOrder, before: "_Watch | None" = None) -> None:
        self.order = order
        self.gate: RolloutGate | None = None
        # Versions that get nothing, as known before the coordinator speaks.
        self.barred = () if before is None else before.barred_after(order)
        self.told_at = 0.0
        self.credit: dict[str, float] = {}
        self.told_bad = 0
        self.tally = TallyMessage(
            revision=order.revision,
            phase=str(Phase.RUNNING),
            requests={},
            exposed={},
            old={},
            new={},
        )

    def barred_after(self, order: RolloutOrder) -> tuple[str, ...]:
        """Return the versions that get nothing once another order is given.

        One that wasn't found good is given up, unless it is ordered again.
        """
        barred = set(self.barred if self.gate is None else self.gate.barred)
        if self.gate is None or self.gate.phase is not Phase.COMPLETED:
            barred.add(self.order.target_version)
        return tuple(sorted(barred - {order.target_version}))

    @property
    def is_running(self) -> bool:
        """Whether there is no verdict yet."""
        return self.gate is None or self.gate.phase is Phase.RUNNING

    @property
    def bad(self) -> int:
        """How many answers of the new version failed or were late."""
        return sum(
            counts[FAILED] + sum(counts[_SLOW:])
            for by_endpoint in self.tally["new"].values()
            for counts in by_endpoint.values()
        )


def _decided(tally: TallyMessage) -> TallyMessage:
    """Return what is told of a roll-out with a verdict."""
    return TallyMessage(
        revision=tally["revision"],
        phase=tally["phase"],
        requests={},
        exposed={},
        old={},
        new={},
    )


class Split:
    """Roll-outs at one relay.

    Parameters
    ----------
    name : str
        This relay's name.
    patience : float
        Seconds without a word after which nothing new goes to a version that isn't
        called good.
    """

    def __init__(self, name: str, patience: float) -> None:
        self._name = name
        self.patience = patience
        self._watched: dict[str, _Watch] = {}
        # Usual logarithm of the time by route, where no expectation is told.
        self._usual: dict[str, float] = {}
        self._numbers = count(1)
        self._waits: dict[int, _Wait] = {}

    # --- what is known ---------------------------------------------------------
    def ordered(self, orders: dict[str, RolloutOrder]) -> None:
        """Take all orders as the operator has them now, by service."""
        for service, order in orders.items():
            known = self._watched.get(service)
            if known is None or known.order.revision < order.revision:
                self._watched[service] = _Watch(order, known)
        for service in self._watched.keys() - orders.keys():
            # Withdrawn: what its version may get stays as it was told last, and
            # nothing where it wasn't told.
            watch = self._watched[service]
            if watch.gate is None:
                del self._watched[service]

    def told(self, gates: Sequence[RolloutGate], now: float) -> None:
        """Take what the coordinator says; a verdict is never turned back."""
        for gate in gates:
            watch = self._watched.get(gate.service)
            if watch is None or watch.order.revision < gate.revision:
                order = RolloutOrder(
                    gate.service, gate.target_version, 0.0, gate.revision
                )
                watch = self._watched[gate.service] = _Watch(order, watch)
            if watch.order.revision > gate.revision:
                continue
            known = watch.gate
            if known is not None and known.phase is not Phase.RUNNING:
                gate = gate._replace(phase=known.phase)
            watch.gate = gate
            watch.told_at = now
            watch.tally["phase"] = str(gate.phase)
            if not watch.is_running:
                # Nothing more is counted: endpoints come and go for long.
                watch.tally = _decided(watch.tally)

    def learn(self, gates: Sequence[RolloutGate]) -> None:
        """Take verdicts, not shares, of who only heard of them."""
        for gate in gates:
            watch = self._watched.get(gate.service)
            if gate.phase is Phase.RUNNING:
                continue
            if watch is None or watch.order.revision <= gate.revision:
                self.told([gate], 0.0)

    def watches(self, service: str) -> bool:
        """Return whether the service has a roll-out."""
        return service in self._watched

    # --- one request -------------------------------------------------------------
    def part(
        self,
        service: str,
        route: str,
        members: Sequence[Member],
        now: float,
        again: bool = False,
        first: bool = True,
    ) -> Part:
        """Return the endpoints of one version that a request may go to.

        ``again`` says that it was sent before: a repeat goes to the old version.
        ``first`` is the request's first question, which earns the new version its part.
        """
        watch = self._watched.get(service)
        if watch is None:
            return Part(members)
        gate = watch.gate
        to = watch.order.target_version
        barred = watch.barred if gate is None else gate.barred
        new = [m for m in members if m.version == to]
        old = [m for m in members if m.version != to and m.version not in barred]
        phase = Phase.RUNNING if gate is None else gate.phase
        match phase:
            case Phase.COMPLETED:
                return Part(new, True) if new else Part(old)
            case Phase.ROLLED_BACK:
                return Part(old)
        if gate is None or now - watch.told_at > self.patience:
            # Nothing says that the version is bad where nobody else can serve.
            return Part(old) if old else Part(new, True)
        if first:
            saved = self._credit(watch, route) + gate.shares.get(route, 0.0)
            watch.credit[route] = min(_MOST_CREDIT, saved)
        if (again and old) or self._credit(watch, route) < 1.0:
            return Part(old)
        canaries = [m for m in new if m.endpoint_id in gate.canaries]
        return Part(canaries, True) if canaries else Part(old)

    def _credit(self, watch: _Watch, route: str) -> float:
        credit = watch.credit.get(route)
        if credit is None:
            key = f"{self._name}\0{route}\0{watch.order.revision}"
            credit = xxh3_64_intdigest(key.encode()) / _WHOLE
            watch.credit[route] = credit
        return credit

    # --- what is counted -----------------------------------------------------------
    def sent(self, service: str, route: str, member: Member, first: bool) -> bool:
        """Count a send; return whether it goes to a new version.

        ``first`` where it is the request's first one.
        """
        watch = self._running(service)
        if watch is None:
            return False
        tally = watch.tally
        if first:
            tally["requests"][route] = tally["requests"].get(route, 0) + 1
        if member.version != watch.order.target_version:
            return False
        tally["exposed"][route] = tally["exposed"].get(route, 0) + 1
        watch.credit[route] = max(0.0, self._credit(watch, route) - 1.0)
        return True

    def awaits(self, answer: Awaited) -> int:
        """Wait for an answer; returns the number by which it is told, or 0."""
        if self._running(answer.service) is None:
            return 0
        usual = answer.expected
        if usual is None:
            known = self._usual.get(answer.route)
            usual = (
                answer.objective if known is None else max(0.0, exp(known) - _GRAIN_S)
            )
        number = next(self._numbers)
        self._waits[number] = _Wait(answer, usual)
        return number

    def answered(self, number: int, now: float) -> None:
        """Count an answer, or a stream's first event, by the time it took."""
        wait = self._waits.pop(number, None)
        if wait is None:
            return
        answer = wait.answer
        took = (now if wait.over_at is None else wait.over_at) - answer.sent_at
        if answer.expected is None and not self._is_new(answer):
            self._learn(answer.route, max(0.0, took) + _GRAIN_S)
        if not wait.counted:
            self._count_wait(wait, took)

    def over(self, number: int, now: float) -> None:
        """Note that a send is over; what came of it may still be told."""
        wait = self._waits.get(number)
        if wait is not None and wait.over_at is None:
            wait.over_at = now

    def gave_up(self, number: int) -> None:
        """Wait for an answer no more, without a reason in the version."""
        self._waits.pop(number, None)

    def failed(self, service: str, route: str, member: Member) -> bool:
        """Count a failure that may be the version's; return whether it is a new one."""
        watch = self._running(service)
        if watch is None:
            return False
        self._count(service, route, member, FAILED)
        return member.version == watch.order.target_version

    def _learn(self, route: str, seconds: float) -> None:
        known = self._usual.get(route, log(seconds))
        self._usual[route] = known + (log(seconds) - known) * _LEARN

    def _is_new(self, answer: Awaited) -> bool:
        watch = self._watched.get(answer.service)
        return watch is not None and answer.member.version == watch.order.target_version

    def _count_wait(self, wait: _Wait, took: float) -> None:
        answer = wait.answer
        category = category_of(max(0.0, took) + _GRAIN_S, wait.usual + _GRAIN_S)
        self._count(answer.service, answer.route, answer.member, category)

    def _count_late(self, now: float) -> None:
        """Count answers that are late already, and forget those nobody waits for."""
        for number, wait in list(self._waits.items()):
            took = now - wait.answer.sent_at
            if wait.over_at is not None:
                if now - wait.over_at > _KEPT_S:
                    del self._waits[number]
            elif not wait.counted and took > _LATE * (wait.usual + _GRAIN_S):
                wait.counted = True
                self._count_wait(wait, took)

    def _running(self, service: str) -> _Watch | None:
        """Return the roll-out of a service that isn't decided, or None."""
        watch = self._watched.get(service)
        return watch if watch is not None and watch.is_running else None

    def _count(self, service: str, route: str, member: Member, category: int) -> None:
        watch = self._running(service)
        if watch is None:
            return
        tally = watch.tally
        if member.version == watch.order.target_version:
            by_endpoint = tally["new"].setdefault(route, {})
            counts = by_endpoint.setdefault(member.endpoint_id, empty())
        else:
            counts = tally["old"].setdefault(route, empty())
        counts[category] += 1

    def tallies(self, now: float) -> dict[str, TallyMessage]:
        """Return what this relay counted; of decided roll-outs the phase only."""
        self._count_late(now)
        return {service: watch.tally for service, watch in self._watched.items()}

    def troubled(self, now: float) -> bool:
        """Return whether a new version failed or is late since this was asked last."""
        self._count_late(now)
        found = False
        for watch in self._watched.values():
            if not watch.is_running:
                continue
            bad = watch.bad
            found = found or bad > watch.told_bad
            watch.told_bad = bad
        return found

    def gates(self) -> list[RolloutGate]:
        """Return what this relay was told, for one that asks it."""
        return [w.gate for w in self._watched.values() if w.gate is not None]
