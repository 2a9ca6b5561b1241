"""Chooses the version for each request at one relay, and counts requests and answers.

Shares are enforced by counting, not at random: with hundreds of relays that each see a
few requests a second, random choices would exceed the bound. The initial count depends
on the relay's name, so that the sum over all relays is even, too.
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
    empty_counts,
)

_HASH_RANGE = float(2**64)
# Requests not sent to the new version while its endpoints were unavailable, which it
# may get later.
_MAX_CREDIT = 2.0
# Answers in this category and above are late.
_FIRST_LATE_CATEGORY = category_of(4.0, 1.0)
# A pending answer is late after this many times the usual time.
_LATE_FACTOR = 4.0
# Weight of one answer in the usual time of a route.
_USUAL_TIME_WEIGHT = 0.05
# Added to times before they are compared: a new connection and a busy instance lengthen
# short answers, which says nothing of the version.
_TIME_OFFSET_S = 0.01
# Sends that ended without an answer, for example because the caller left, are
# remembered for this long.
_ENDED_TTL_S = 5.0


class TallyMessage(TypedDict):
    """What one relay counted of one roll-out since it learned of it.

    ``requests`` and ``exposed`` by route; ``old`` by route, ``new`` by route and
    endpoint: answers by category. ``phase`` is that of the relay's gate. ``to`` and
    ``duration`` are those of the order.
    """

    to: str
    duration: float
    revision: int
    phase: str
    requests: dict[str, int]
    exposed: dict[str, int]
    old: dict[str, Counts]
    new: dict[str, dict[str, Counts]]


class VersionChoice(NamedTuple):
    """The endpoints that a request may go to, and whether their version is new."""

    members: Sequence[Member]
    is_new: bool = False


class AwaitedAnswer(NamedTuple):
    """A pending answer, or a stream's first event.

    Attributes
    ----------
    expected : float or None
        Seconds that it should take; None where there is no estimate for the request.
    objective : float
        The route's objective for this time, seconds.
    sent_at : float
        When the request was sent, monotonic seconds.
    """

    service: str
    route: str
    member: Member
    expected: float | None
    objective: float
    sent_at: float


@dataclass
class _PendingAnswer:
    """A pending answer: its usual time, whether it was counted, when its send ended."""

    answer: AwaitedAnswer
    usual: float
    counted: bool = False
    ended_at: float | None = None


class _RolloutAtRelay:
    """One roll-out at one relay."""

    def __init__(
        self, order: RolloutOrder, previous: "_RolloutAtRelay | None" = None
    ) -> None:
        self.order = order
        self.gate: RolloutGate | None = None
        # Versions that get no requests, until the coordinator sends a gate.
        self.barred = () if previous is None else previous.barred_after(order)
        self.gate_received_at = 0.0
        self.credit: dict[str, float] = {}
        self.reported_bad = 0
        self.tally = TallyMessage(
            to=order.target_version,
            duration=order.duration,
            revision=order.revision,
            phase=str(Phase.RUNNING),
            requests={},
            exposed={},
            old={},
            new={},
        )

    def adopt(self, order: RolloutOrder) -> None:
        """Take the version under which a restored store lists this same order."""
        if order.revision >= self.order.revision:
            self.order = order
            self.tally["revision"] = order.revision
            self.tally["duration"] = order.duration

    def barred_after(self, order: RolloutOrder) -> tuple[str, ...]:
        """Return the versions that get no requests once another order is given.

        This order's version is among them, unless it was completed or is ordered again.
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
            counts[FAILED] + sum(counts[_FIRST_LATE_CATEGORY:])
            for by_endpoint in self.tally["new"].values()
            for counts in by_endpoint.values()
        )


def _decided(tally: TallyMessage) -> TallyMessage:
    """Return the tally of a roll-out with a verdict: only its phase."""
    return TallyMessage(
        to=tally["to"],
        duration=tally["duration"],
        revision=tally["revision"],
        phase=tally["phase"],
        requests={},
        exposed={},
        old={},
        new={},
    )


class TrafficSplit:
    """All roll-outs at one relay.

    Parameters
    ----------
    name : str
        This relay's name.
    gate_ttl_s : float
        Seconds without a gate from the coordinator after which a version without a
        verdict gets no more requests.
    """

    def __init__(self, name: str, gate_ttl_s: float) -> None:
        self._name = name
        self.gate_ttl_s = gate_ttl_s
        self._rollouts: dict[str, _RolloutAtRelay] = {}
        # Mean logarithm of the time by route, for requests without an estimate.
        self._usual_log_times: dict[str, float] = {}
        self._numbers = count(1)
        self._pending: dict[int, _PendingAnswer] = {}

    # --- orders and gates --------------------------------------------------------
    def set_orders(self, orders: dict[str, RolloutOrder]) -> None:
        """Apply all current orders of the operator, by service."""
        for service, order in orders.items():
            known = self._rollouts.get(service)
            if known is None or order.replaces(known.order):
                self._rollouts[service] = _RolloutAtRelay(order, known)
            elif order.is_same(known.order):
                known.adopt(order)
        for service in self._rollouts.keys() - orders.keys():
            # The last gate of a withdrawn order stays in force; without a gate the
            # roll-out is dropped.
            rollout = self._rollouts[service]
            if rollout.gate is None:
                del self._rollouts[service]

    def apply_gates(self, gates: Sequence[RolloutGate], now: float) -> None:
        """Apply the coordinator's gates; a verdict is never reverted."""
        for gate in gates:
            rollout, order = self._rollouts.get(gate.service), gate.order
            if rollout is None or order.replaces(rollout.order):
                rollout = self._rollouts[gate.service] = _RolloutAtRelay(order, rollout)
            elif not order.is_same(rollout.order):
                continue
            rollout.adopt(order)
            known = rollout.gate
            if known is not None and known.phase is not Phase.RUNNING:
                gate = gate._replace(phase=known.phase)
            rollout.gate = gate
            rollout.gate_received_at = now
            rollout.tally["phase"] = str(gate.phase)
            if not rollout.is_running:
                # Counting stops here, as the tally would grow with each new endpoint.
                rollout.tally = _decided(rollout.tally)

    def apply_verdicts(self, gates: Sequence[RolloutGate]) -> None:
        """Apply the verdicts, not the shares, of a relay that isn't the coordinator."""
        self.apply_gates([g for g in gates if g.phase is not Phase.RUNNING], 0.0)

    def has_rollout(self, service: str) -> bool:
        """Return whether the service has a roll-out."""
        return service in self._rollouts

    def is_barred(self, service: str, version: str) -> bool:
        """Return whether a version gets no requests, as its roll-out was rolled back.

        A later order without a gate bars the version of the one before as well.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return False
        gate = rollout.gate
        if gate is not None and gate.phase is Phase.ROLLED_BACK:
            if version == rollout.order.target_version:
                return True
        return version in (rollout.barred if gate is None else gate.barred)

    # --- one request -------------------------------------------------------------
    def choose_version(
        self,
        service: str,
        route: str,
        members: Sequence[Member],
        now: float,
        resend: bool = False,
        first: bool = True,
    ) -> VersionChoice:
        """Return the endpoints of one version that a request may go to.

        ``resend`` says that it was sent before: a resend goes to the old version.
        ``first`` says that this is the request's first choice, which adds the route's
        share to the new version's credit.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return VersionChoice(members)
        gate = rollout.gate
        target = rollout.order.target_version
        barred = rollout.barred if gate is None else gate.barred
        new = [m for m in members if m.version == target]
        old = [m for m in members if m.version != target and m.version not in barred]
        phase = Phase.RUNNING if gate is None else gate.phase
        match phase:
            case Phase.COMPLETED:
                return VersionChoice(new, True) if new else VersionChoice(old)
            case Phase.ROLLED_BACK:
                return VersionChoice(old)
        if gate is None or now - rollout.gate_received_at > self.gate_ttl_s:
            # Without old endpoints the new version serves: it isn't known to be bad.
            return VersionChoice(old) if old else VersionChoice(new, True)
        if first:
            credit = self._credit(rollout, route) + gate.shares.get(route, 0.0)
            rollout.credit[route] = min(_MAX_CREDIT, credit)
        if (resend and old) or self._credit(rollout, route) < 1.0:
            return VersionChoice(old)
        canaries = [m for m in new if m.endpoint_id in gate.canaries]
        return VersionChoice(canaries, True) if canaries else VersionChoice(old)

    def _credit(self, rollout: _RolloutAtRelay, route: str) -> float:
        credit = rollout.credit.get(route)
        if credit is None:
            key = f"{self._name}\0{route}\0{rollout.order.revision}"
            credit = xxh3_64_intdigest(key.encode()) / _HASH_RANGE
            rollout.credit[route] = credit
        return credit

    # --- counts ----------------------------------------------------------------------
    def record_send(
        self, service: str, route: str, member: Member, first: bool
    ) -> bool:
        """Count a send; return whether it goes to a new version.

        ``first`` says that it is the request's first one.
        """
        rollout = self._running(service)
        if rollout is None:
            return False
        tally = rollout.tally
        if first:
            tally["requests"][route] = tally["requests"].get(route, 0) + 1
        if member.version != rollout.order.target_version:
            return False
        tally["exposed"][route] = tally["exposed"].get(route, 0) + 1
        rollout.credit[route] = max(0.0, self._credit(rollout, route) - 1.0)
        return True

    def expect_answer(self, answer: AwaitedAnswer) -> int:
        """Register a pending answer; return its number, or 0 if it isn't counted."""
        if self._running(answer.service) is None:
            return 0
        usual = answer.expected
        if usual is None:
            known = self._usual_log_times.get(answer.route)
            usual = (
                answer.objective
                if known is None
                else max(0.0, exp(known) - _TIME_OFFSET_S)
            )
        number = next(self._numbers)
        self._pending[number] = _PendingAnswer(answer, usual)
        return number

    def record_answer(self, number: int, now: float) -> None:
        """Count an answer, or a stream's first event, by the time that it took."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        answer = pending.answer
        took = (now if pending.ended_at is None else pending.ended_at) - answer.sent_at
        if answer.expected is None and not self._is_new(answer):
            self._update_usual_time(answer.route, max(0.0, took) + _TIME_OFFSET_S)
        if not pending.counted:
            self._count_pending(pending, took)

    def record_end(self, number: int, now: float) -> None:
        """Record that a send ended; its answer may still be recorded."""
        pending = self._pending.get(number)
        if pending is not None and pending.ended_at is None:
            pending.ended_at = now

    def cancel_answer(self, number: int) -> None:
        """Forget a pending answer, which says nothing of the version."""
        self._pending.pop(number, None)

    def record_failure(self, service: str, route: str, member: Member) -> bool:
        """Count a failure; return whether it is one of the new version."""
        rollout = self._running(service)
        if rollout is None:
            return False
        self._count(service, route, member, FAILED)
        return member.version == rollout.order.target_version

    def _update_usual_time(self, route: str, seconds: float) -> None:
        known = self._usual_log_times.get(route, log(seconds))
        self._usual_log_times[route] = (
            known + (log(seconds) - known) * _USUAL_TIME_WEIGHT
        )

    def _is_new(self, answer: AwaitedAnswer) -> bool:
        rollout = self._rollouts.get(answer.service)
        return (
            rollout is not None
            and answer.member.version == rollout.order.target_version
        )

    def _count_pending(self, pending: _PendingAnswer, took: float) -> None:
        answer = pending.answer
        category = category_of(
            max(0.0, took) + _TIME_OFFSET_S, pending.usual + _TIME_OFFSET_S
        )
        self._count(answer.service, answer.route, answer.member, category)

    def _count_late(self, now: float) -> None:
        """Count pending answers that are late, and drop those of ended sends."""
        for number, pending in list(self._pending.items()):
            took = now - pending.answer.sent_at
            if pending.ended_at is not None:
                if now - pending.ended_at > _ENDED_TTL_S:
                    del self._pending[number]
            elif not pending.counted and took > _LATE_FACTOR * (
                pending.usual + _TIME_OFFSET_S
            ):
                pending.counted = True
                self._count_pending(pending, took)

    def _running(self, service: str) -> _RolloutAtRelay | None:
        """Return the roll-out of a service without a verdict, or None."""
        rollout = self._rollouts.get(service)
        return rollout if rollout is not None and rollout.is_running else None

    def _count(self, service: str, route: str, member: Member, category: int) -> None:
        rollout = self._running(service)
        if rollout is None:
            return
        tally = rollout.tally
        if member.version == rollout.order.target_version:
            by_endpoint = tally["new"].setdefault(route, {})
            counts = by_endpoint.setdefault(member.endpoint_id, empty_counts())
        else:
            counts = tally["old"].setdefault(route, empty_counts())
        counts[category] += 1

    def tallies(self, now: float) -> dict[str, TallyMessage]:
        """Return this relay's tallies by service; with a verdict, only the phase."""
        self._count_late(now)
        return {service: rollout.tally for service, rollout in self._rollouts.items()}

    def has_new_bad_answers(self, now: float) -> bool:
        """Return whether new versions failed or were late again since the last call."""
        self._count_late(now)
        found = False
        for rollout in self._rollouts.values():
            if not rollout.is_running:
                continue
            bad = rollout.bad
            found = found or bad > rollout.reported_bad
            rollout.reported_bad = bad
        return found

    def gates(self) -> list[RolloutGate]:
        """Return the gates of this relay, for others that start."""
        return [r.gate for r in self._rollouts.values() if r.gate is not None]
