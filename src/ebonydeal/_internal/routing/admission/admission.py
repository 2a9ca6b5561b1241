"""Whether a request starts now, waits, or is refused with a time to retry.

A request is refused as soon as it is known that it can't start in time: when it
is offered, when capacity falls, or when its latest start passes. Each refusal
is immediate and contains the time after which a retry makes sense.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.document import Account
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.routing.admission.queues import FairQueue, QueuedRequest
from ebonydeal._internal.routing.limits.account_limits import AccountLimits
from ebonydeal._internal.settings.routing import AdmissionSettings

_INITIAL_RUN_S = 2.0
_RUN_TIME_WEIGHT = 0.05
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 120.0
_MAX_JITTER_FACTOR = 1.3
_NO_CAPACITY_WAIT_S = 2.0


class AdmissionRequest(NamedTuple):
    """What admission needs to know about a request.

    ``tokens`` is prompt and expected output; ``deadline`` is in wall clock seconds,
    0.0 for none; ``min_run_s`` is the least time from start to a useful answer.
    """

    request_id: str
    account: str
    deployment: str
    priority: Priority
    tokens: float
    deadline: float = 0.0
    min_run_s: float = 0.0


@dataclass(frozen=True)
class Admit:
    """Start now; call `Admission.release` at the end."""

    request_id: str


@dataclass(frozen=True)
class Wait:
    """Queued until `Admission.next_ready` returns it; ``expected_s`` from now."""

    request_id: str
    expected_s: float


@dataclass(frozen=True)
class Refuse:
    """Not run; answer at once. ``retry_after`` is in seconds."""

    request_id: str
    kind: ErrorKind
    retry_after: float
    why: str


class _Offered(NamedTuple):
    """An offered request that is waiting or running."""

    request: AdmissionRequest
    started_at: float | None


class _DeploymentState:
    """One deployment: its capacity, and its running and waiting requests."""

    def __init__(self) -> None:
        self.capacity = 0
        self.running = 0
        self.mean_run_s = _INITIAL_RUN_S
        self.queue = FairQueue()

    def wait_for(self, ahead: int) -> float:
        """Return the expected wait behind ``ahead`` queued requests, seconds."""
        if self.capacity <= 0:
            return _NO_CAPACITY_WAIT_S + (ahead + 1) * self.mean_run_s
        return (ahead + 1) * self.mean_run_s / self.capacity

    def record_run(self, seconds: float) -> None:
        """Update the mean run time with a request that ended."""
        self.mean_run_s += _RUN_TIME_WEIGHT * (max(0.001, seconds) - self.mean_run_s)


class Admission:
    """Admission of all deployments at one gateway.

    After each `offer`, `release`, `cancel` and `set_capacity`, and at
    `wake_at`, the owner calls `next_ready` and acts on all that it returns.

    Parameters
    ----------
    cfg : AdmissionSettings
        Bounds of the queues.
    limits : AccountLimits
        Limits of client accounts.
    rng : random.Random
        Adds jitter to retry times.
    """

    def __init__(
        self, cfg: AdmissionSettings, limits: AccountLimits, rng: Random
    ) -> None:
        self._cfg = cfg
        self.limits = limits
        self._rng = rng
        self._states: dict[str, _DeploymentState] = {}
        self._offered: dict[str, _Offered] = {}
        self._pending: list[Refuse] = []

    @classmethod
    def from_config(
        cls, cfg: AdmissionSettings, gateway: str, rng: Random
    ) -> "Admission":
        """Build with its own limits."""
        return cls(cfg, AccountLimits.from_config(cfg, gateway), rng)

    def configure(self, accounts: Mapping[str, Account]) -> None:
        """Apply the client accounts of a newly accepted document."""
        self.limits.configure(accounts)

    def set_capacity(self, deployment: str, slots: int, now: float) -> None:
        """Set how many requests of a deployment this gateway may run at once."""
        state = self._state_of(deployment)
        fell = slots < state.capacity
        state.capacity = max(0, slots)
        if fell:
            self._refuse_late(state, now)

    def offer(self, request: AdmissionRequest, now: float) -> Admit | Wait | Refuse:
        """Decide about a new request."""
        if request.request_id in self._offered:
            raise ValueError(f"request {request.request_id} was already offered")
        over = self.limits.take(request.account, request.tokens, now)
        if over is not None:
            why = f"client account limit {over.limit}"
            wait = self._jittered(over.retry_after)
            return Refuse(request.request_id, ErrorKind.RATE_LIMITED, wait, why)
        state = self._state_of(request.deployment)
        if state.running < state.capacity and not len(state.queue):
            return self._start(request, state, now)
        return self._enqueue(request, state, now)

    def release(self, request_id: str, used_tokens: float, now: float) -> None:
        """End an admitted request that used ``used_tokens``."""
        entry = self._offered.pop(request_id, None)
        if entry is None:
            return
        state = self._state_of(entry.request.deployment)
        if entry.started_at is None:
            state.queue.remove(request_id)
            self.limits.undo(entry.request.account, entry.request.tokens, now)
            return
        state.running -= 1
        state.record_run(now - entry.started_at)
        self.limits.settle(
            entry.request.account, entry.request.tokens, used_tokens, now
        )

    def cancel(self, request_id: str, now: float) -> None:
        """Remove a request whose caller left; same as a release with no tokens."""
        self.release(request_id, 0.0, now)

    def next_ready(self, now: float) -> list[Admit | Refuse]:
        """Return the requests that start now and the waiting ones now refused."""
        for state in self._states.values():
            self._refuse_expired(state, now)
        ready: list[Admit | Refuse] = list(self._pending)
        self._pending.clear()
        for state in self._states.values():
            while state.running < state.capacity and len(state.queue):
                item = state.queue.pop()
                assert item is not None
                ready.append(
                    self._start(self._offered[item.request_id].request, state, now)
                )
        return ready

    def wake_at(self) -> float | None:
        """Return when `next_ready` must be called even if nothing else happens."""
        times = [state.queue.next_expiry() for state in self._states.values()]
        return min((time for time in times if time is not None), default=None)

    def waiting(self, deployment: str) -> int:
        """Return how many requests of a deployment wait."""
        return len(self._state_of(deployment).queue)

    def running(self, deployment: str) -> int:
        """Return how many requests of a deployment run."""
        return self._state_of(deployment).running

    # --- internals ---------------------------------------------------------------
    def _state_of(self, deployment: str) -> _DeploymentState:
        if deployment not in self._states:
            self._states[deployment] = _DeploymentState()
        return self._states[deployment]

    def _start(
        self, request: AdmissionRequest, state: _DeploymentState, now: float
    ) -> Admit:
        state.running += 1
        self._offered[request.request_id] = _Offered(request, now)
        return Admit(request.request_id)

    def _max_wait(self, request: AdmissionRequest, now: float) -> float:
        """Return how long a request may wait, seconds."""
        if not request.deadline:
            return self._cfg.longest_wait
        return min(self._cfg.longest_wait, request.deadline - now - request.min_run_s)

    def _enqueue(
        self, request: AdmissionRequest, state: _DeploymentState, now: float
    ) -> Wait | Refuse:
        """Queue a request, unless it can't start in time."""
        allowed = self._max_wait(request, now)
        expected = state.wait_for(state.queue.ahead(request.account, request.priority))
        if expected > allowed:
            why = f"would start in {expected:.1f} s, but has {max(0.0, allowed):.1f} s"
            return self._reject(request, expected - max(0.0, allowed), why, now)
        if len(state.queue) >= self._cfg.queue:
            victim = state.queue.victim(request.account, request.priority)
            if victim is None:
                return self._reject(request, expected, "the queue is full", now)
            self._shed(state, victim, now)
        state.queue.push(
            request.request_id,
            request.account,
            request.priority,
            request.tokens,
            now + allowed,
        )
        self._offered[request.request_id] = _Offered(request, None)
        return Wait(request.request_id, expected)

    def _reject(
        self, request: AdmissionRequest, wait: float, why: str, now: float
    ) -> Refuse:
        """Refuse an offered request and release its reserved limits."""
        self.limits.undo(request.account, request.tokens, now)
        return Refuse(
            request.request_id, ErrorKind.QUEUE_FULL, self._jittered(wait), why
        )

    def _refuse_waiting(
        self,
        state: _DeploymentState,
        item: QueuedRequest,
        kind: ErrorKind,
        why: str,
        now: float,
    ) -> None:
        """Refuse a waiting request with the next `next_ready`."""
        state.queue.remove(item.request_id)
        request = self._offered.pop(item.request_id).request
        self.limits.undo(request.account, request.tokens, now)
        wait = self._jittered(state.wait_for(len(state.queue)))
        self._pending.append(Refuse(item.request_id, kind, wait, why))

    def _shed(self, state: _DeploymentState, victim: QueuedRequest, now: float) -> None:
        why = "evicted from the queue by a request that has precedence"
        self._refuse_waiting(state, victim, ErrorKind.SHED, why, now)

    def _refuse_expired(self, state: _DeploymentState, now: float) -> None:
        """Refuse the requests whose latest start has passed."""
        first = state.queue.next_expiry()
        if first is None or first > now:
            return
        for item in state.queue.in_order():
            if item.latest_start <= now:
                why = "could not start before its deadline"
                self._refuse_waiting(state, item, ErrorKind.QUEUE_FULL, why, now)

    def _refuse_late(self, state: _DeploymentState, now: float) -> None:
        """Refuse the requests that can't start in time with the remaining capacity."""
        ahead = 0
        for item in state.queue.in_order():
            if now + state.wait_for(ahead) > item.latest_start:
                why = "capacity fell; it could not start before its deadline"
                self._refuse_waiting(state, item, ErrorKind.QUEUE_FULL, why, now)
            else:
                ahead += 1

    def _jittered(self, wait: float) -> float:
        """Bound a retry time and add jitter, so that callers don't retry together."""
        bounded = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait))
        return bounded * self._rng.uniform(1.0, _MAX_JITTER_FACTOR)
