"""Sends per request while a deployment fails, with and without a retry budget."""

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.routing.retries.retries import Failure, Retry, RetryPolicy
from ebonydeal._internal.settings.routing import RetrySettings

_START_S = 1_000_000.0
_REQUESTS_PER_S = 50.0
_CALL_S = 0.05
_LOOKUP_SHARE = 0.3
_DEADLINE_S = 2.0
_UNLIMITED_BUDGET = 1e9


class Phase(NamedTuple):
    """A period during which a given share of sends fails."""

    name: str
    seconds: float
    failure_share: float


PHASES = (
    Phase("healthy (1 % fail)", 60.0, 0.01),
    Phase("brown-out (40 % fail)", 60.0, 0.4),
    Phase("full failure", 60.0, 1.0),
)


class PhaseOutcome(NamedTuple):
    """Counts of the requests that arrived in one phase."""

    requests: int
    sends: int
    answered: int

    @property
    def ratio(self) -> float:
        """Sends per request."""
        return self.sends / max(1, self.requests)


class _Attempt(NamedTuple):
    """One send of a request."""

    phase: int
    number: int
    deadline: float
    idempotent: bool


def run_retries(cfg: RetrySettings, seed: int) -> list[PhaseOutcome]:
    """Simulate all phases in sequence; return one outcome for each."""
    rng = Random(f"retries-{seed}")
    policy = RetryPolicy.from_config(cfg, rng)
    counts = [[0, 0, 0] for _ in PHASES]
    heap: list[tuple[float, int, _Attempt]] = []
    event_number = 0
    arrival = 0.0
    for number, phase in enumerate(PHASES):
        end = arrival + phase.seconds
        while arrival < end:
            arrival += rng.expovariate(_REQUESTS_PER_S)
            first_attempt = _Attempt(
                number, 1, arrival + _DEADLINE_S, rng.random() >= 0.1
            )
            event_number += 1
            heappush(heap, (arrival, event_number, first_attempt))
    while heap:
        now, _, attempt = heappop(heap)
        failure_share = PHASES[attempt.phase].failure_share
        count = counts[attempt.phase]
        count[1] += 1
        if attempt.number == 1:
            count[0] += 1
            policy.record_first_send("pool", _START_S + now)
            count[1] += _send_hedge(policy, attempt, rng, now)
        if rng.random() >= failure_share:
            count[2] += 1
            continue
        failed = now + _CALL_S
        failure = Failure(
            ErrorKind.ENDPOINT_FAILED,
            "pool",
            attempt.idempotent,
            deadline=_START_S + attempt.deadline,
        )
        match policy.next_attempt(failure, attempt.number, _START_S + failed):
            case Retry(delay_s=delay):
                event_number += 1
                retry = attempt._replace(number=attempt.number + 1)
                heappush(heap, (failed + delay, event_number, retry))
    return [PhaseOutcome(*count) for count in counts]


def _send_hedge(policy: RetryPolicy, attempt: _Attempt, rng: Random, now: float) -> int:
    """Return 1 if a slow look-up is hedged, else 0."""
    if rng.random() >= _LOOKUP_SHARE:
        return 0
    hedged = policy.try_hedge(
        "pool", attempt.idempotent, _START_S + attempt.deadline, _START_S + now
    )
    return int(hedged)


def without_budget() -> RetrySettings:
    """Return the baseline's settings: up to four attempts, without a budget."""
    return RetrySettings(budget=4.0, budget_cap=_UNLIMITED_BUDGET, hedge_budget=0.0)
