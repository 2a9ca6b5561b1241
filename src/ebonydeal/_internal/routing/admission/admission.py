"""Whether a request starts now, waits, or is refused with the time to repeat.

A request is refused as soon as it is known that it can't start in time: when it
is offered, when capacity falls, or when its latest start passes. Each refusal
says when a repeat is worth while; none is held back.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.document import Account
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.routing.admission.queues import FairQueue, Waiting
from ebonydeal._internal.routing.limits.account_limits import AccountLimits
from ebonydeal._internal.settings.routing import AdmissionSettings

_FIRST_RUN_S = 2.0
_LEARN = 0.05
_RETRY_MIN = 0.5
_RETRY_MAX = 120.0
_JITTER = 1.3
_NO_CAPACITY_WAIT = 2.0


class AdmissionRequest(NamedTuple):
    """What admission needs to know of a request.

    ``tokens`` is prompt and expected output; ``deadline`` wall clock seconds,
    0.0 for none; ``least_s`` the least time from start to a useful answer.
    """

    request_id: str
    account: str
    deployment: str
    priority: Priority
    tokens: float
    deadline: float = 0.0
    least_s: float = 0.0


@dataclass(frozen=True)
class Admit:
    """Start now; call `Admission.release` at the end."""

    request_id: str


@dataclass(frozen=True)
class Wait:
    """Queued; `Admission.next_ready` will name it. ``expected_s`` from now."""

    request_id: str
    expected_s: float


@dataclass(frozen=True)
class Refuse:
    """Not run; answer at once. ``retry_after`` in seconds is meant."""

    request_id: str
    kind: ErrorKind
    retry_after: float
    why: str


class _Running(NamedTuple):
    """An offered request that is waiting or running."""

    ask: AdmissionRequest
    started_at: float | None


class _Lane:
    """One deployment: its capacity, what runs and what waits."""

    def __init__(self) -> None:
        self.capacity = 0
        self.running = 0
        self.run_s = _FIRST_RUN_S
        self.queue = FairQueue()

    def wait_for(self, ahead: int) -> float:
        """Return the expected wait behind ``ahead`` queued requests, seconds."""
        if self.capacity <= 0:
            return _NO_CAPACITY_WAIT + (ahead + 1) * self.run_s
        return (ahead + 1) * self.run_s / self.capacity

    def ran(self, seconds: float) -> None:
        """Learn the run time from one that ended."""
        self.run_s += _LEARN * (max(0.001, seconds) - self.run_s)


class Admission:
    """Admission of all deployments at one gateway.

    After each `offer`, `release`, `cancel` and `set_capacity`, and at
    `wake_at`, the owner calls `next_ready` and acts on all that it returns.

    Parameters
    ----------
    cfg : AdmissionSettings
        Queue bounds.
    limits : AccountLimits
        Limits of client accounts.
    rng : random.Random
        Spreads the times to repeat.
    """

    def __init__(
        self, cfg: AdmissionSettings, limits: AccountLimits, rng: Random
    ) -> None:
        self._cfg = cfg
        self.limits = limits
        self._rng = rng
        self._lanes: dict[str, _Lane] = {}
        self._offered: dict[str, _Running] = {}
        self._pending: list[Refuse] = []

    @classmethod
    def from_config(
        cls, cfg: AdmissionSettings, gateway: str, rng: Random
    ) -> "Admission":
        """Build with limits of its own."""
        return cls(cfg, AccountLimits.from_config(cfg, gateway), rng)

    def configure(self, accounts: Mapping[str, Account]) -> None:
        """Take the client accounts of a newly accepted document."""
        self.limits.configure(accounts)

    def set_capacity(self, deployment: str, slots: int, now: float) -> None:
        """Set how many requests of a deployment this gateway may run at once."""
        lane = self._lane(deployment)
        fell = slots < lane.capacity
        lane.capacity = max(0, slots)
        if fell:
            self._refuse_late(lane, now)

    def offer(self, ask: AdmissionRequest, now: float) -> Admit | Wait | Refuse:
        """Decide about a new request."""
        if ask.request_id in self._offered:
            raise ValueError(f"request {ask.request_id} was offered already")
        over = self.limits.take(ask.account, ask.tokens, now)
        if over is not None:
            why = f"client account limit {over.limit}"
            wait = self._spread(over.retry_after)
            return Refuse(ask.request_id, ErrorKind.RATE_LIMITED, wait, why)
        lane = self._lane(ask.deployment)
        if lane.running < lane.capacity and not len(lane.queue):
            return self._start(ask, lane, now)
        return self._enqueue(ask, lane, now)

    def release(self, request_id: str, used_tokens: float, now: float) -> None:
        """End an admitted request; ``used_tokens`` is what it really took."""
        entry = self._offered.pop(request_id, None)
        if entry is None:
            return
        lane = self._lane(entry.ask.deployment)
        if entry.started_at is None:
            lane.queue.remove(request_id)
            self.limits.undo(entry.ask.account, entry.ask.tokens, now)
            return
        lane.running -= 1
        lane.ran(now - entry.started_at)
        self.limits.settle(entry.ask.account, entry.ask.tokens, used_tokens, now)

    def cancel(self, request_id: str, now: float) -> None:
        """Take out a request whose caller left; same as a release of nothing."""
        self.release(request_id, 0.0, now)

    def next_ready(self, now: float) -> list[Admit | Refuse]:
        """Return all that start now, and all waiting ones now given up on."""
        for lane in self._lanes.values():
            self._expire(lane, now)
        ready: list[Admit | Refuse] = list(self._pending)
        self._pending.clear()
        for lane in self._lanes.values():
            while lane.running < lane.capacity and len(lane.queue):
                item = lane.queue.pop()
                assert item is not None
                ready.append(self._start(self._offered[item.request_id].ask, lane, now))
        return ready

    def wake_at(self) -> float | None:
        """Return when `next_ready` must be called next without other cause."""
        times = [lane.queue.next_expiry() for lane in self._lanes.values()]
        return min((time for time in times if time is not None), default=None)

    def waiting(self, deployment: str) -> int:
        """Return how many requests of a deployment wait."""
        return len(self._lane(deployment).queue)

    def running(self, deployment: str) -> int:
        """Return how many requests of a deployment run."""
        return self._lane(deployment).running

    # --- parts -------------------------------------------------------------------
    def _lane(self, deployment: str) -> _Lane:
        if deployment not in self._lanes:
            self._lanes[deployment] = _Lane()
        return self._lanes[deployment]

    def _start(self, ask: AdmissionRequest, lane: _Lane, now: float) -> Admit:
        lane.running += 1
        self._offered[ask.request_id] = _Running(ask, now)
        return Admit(ask.request_id)

    def _longest_wait(self, ask: AdmissionRequest, now: float) -> float:
        """Return how long a request may wait, seconds."""
        if not ask.deadline:
            return self._cfg.longest_wait
        return min(self._cfg.longest_wait, ask.deadline - now - ask.least_s)

    def _enqueue(self, ask: AdmissionRequest, lane: _Lane, now: float) -> Wait | Refuse:
        """Queue a request, unless it can't start in time."""
        allowed = self._longest_wait(ask, now)
        expected = lane.wait_for(lane.queue.ahead(ask.account, ask.priority))
        if expected > allowed:
            why = f"would start in {expected:.1f} s, but has {max(0.0, allowed):.1f} s"
            return self._turn_away(ask, expected - max(0.0, allowed), why, now)
        if len(lane.queue) >= self._cfg.queue:
            victim = lane.queue.victim(ask.account, ask.priority)
            if victim is None:
                return self._turn_away(ask, expected, "the queue is full", now)
            self._shed(lane, victim, now)
        lane.queue.push(
            ask.request_id, ask.account, ask.priority, ask.tokens, now + allowed
        )
        self._offered[ask.request_id] = _Running(ask, None)
        return Wait(ask.request_id, expected)

    def _turn_away(
        self, ask: AdmissionRequest, wait: float, why: str, now: float
    ) -> Refuse:
        """Refuse an offered request; it gets its share of limits back."""
        self.limits.undo(ask.account, ask.tokens, now)
        return Refuse(ask.request_id, ErrorKind.QUEUE_FULL, self._spread(wait), why)

    def _drop(
        self, lane: _Lane, item: Waiting, kind: ErrorKind, why: str, now: float
    ) -> None:
        """Refuse a waiting request with the next `next_ready`."""
        lane.queue.remove(item.request_id)
        ask = self._offered.pop(item.request_id).ask
        self.limits.undo(ask.account, ask.tokens, now)
        wait = self._spread(lane.wait_for(len(lane.queue)))
        self._pending.append(Refuse(item.request_id, kind, wait, why))

    def _shed(self, lane: _Lane, victim: Waiting, now: float) -> None:
        why = "gave way to a request that goes first"
        self._drop(lane, victim, ErrorKind.SHED, why, now)

    def _expire(self, lane: _Lane, now: float) -> None:
        """Refuse all whose latest start has passed."""
        first = lane.queue.next_expiry()
        if first is None or first > now:
            return
        for item in lane.queue.in_order():
            if item.latest_start <= now:
                why = "could not start before its deadline"
                self._drop(lane, item, ErrorKind.QUEUE_FULL, why, now)

    def _refuse_late(self, lane: _Lane, now: float) -> None:
        """Refuse all that can't start in time with what capacity is left."""
        ahead = 0
        for item in lane.queue.in_order():
            if now + lane.wait_for(ahead) > item.latest_start:
                why = "capacity fell; it could not start before its deadline"
                self._drop(lane, item, ErrorKind.QUEUE_FULL, why, now)
            else:
                ahead += 1

    def _spread(self, wait: float) -> float:
        """Bound a time to repeat, and spread the callers that get it."""
        bounded = min(_RETRY_MAX, max(_RETRY_MIN, wait))
        return bounded * self._rng.uniform(1.0, _JITTER)
