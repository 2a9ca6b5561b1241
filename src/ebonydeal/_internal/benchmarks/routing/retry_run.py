"""Sends per request while a deployment fails, with and without a budget."""

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.routing.retries.retries import Failure, Retry, RetryPolicy
from ebonydeal._internal.settings.routing import RetrySettings

_START = 1_000_000.0
_RATE = 50.0
_CALL_S = 0.05
_LOOKUP_SHARE = 0.3
_DEADLINE_S = 2.0
_UNLIMITED = 1e9


class Phase(NamedTuple):
    """A time during which a share of sends fails."""

    name: str
    seconds: float
    failing: float


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


class _Try(NamedTuple):
    """A send that ends at some time."""

    phase: int
    attempt: int
    deadline: float
    idempotent: bool


def run_retries(cfg: RetrySettings, seed: int) -> list[PhaseOutcome]:
    """Play all phases in a row; return one outcome for each."""
    rng = Random(f"retries-{seed}")
    policy = RetryPolicy.from_config(cfg, rng)
    counts = [[0, 0, 0] for _ in PHASES]
    heap: list[tuple[float, int, _Try]] = []
    order = 0
    at = 0.0
    for number, phase in enumerate(PHASES):
        end = at + phase.seconds
        while at < end:
            at += rng.expovariate(_RATE)
            first = _Try(number, 1, at + _DEADLINE_S, rng.random() >= 0.1)
            order += 1
            heappush(heap, (at, order, first))
    while heap:
        now, _, item = heappop(heap)
        failing = PHASES[item.phase].failing
        count = counts[item.phase]
        count[1] += 1
        if item.attempt == 1:
            count[0] += 1
            policy.record_first_send("pool", _START + now)
            count[1] += _hedge(policy, item, rng, now)
        if rng.random() >= failing:
            count[2] += 1
            continue
        failed = now + _CALL_S
        failure = Failure(
            ErrorKind.ENDPOINT_FAILED,
            "pool",
            item.idempotent,
            deadline=_START + item.deadline,
        )
        match policy.next_attempt(failure, item.attempt, _START + failed):
            case Retry(delay_s=after):
                order += 1
                again = item._replace(attempt=item.attempt + 1)
                heappush(heap, (failed + after, order, again))
    return [PhaseOutcome(*count) for count in counts]


def _hedge(policy: RetryPolicy, item: _Try, rng: Random, now: float) -> int:
    """Return 1 where a slow look-up is hedged."""
    if rng.random() >= _LOOKUP_SHARE:
        return 0
    hedged = policy.try_hedge(
        "pool", item.idempotent, _START + item.deadline, _START + now
    )
    return int(hedged)


def without_budget() -> RetrySettings:
    """Return settings of a plain "four tries" policy, the baseline."""
    return RetrySettings(budget=4.0, budget_cap=_UNLIMITED, hedge_budget=0.0)
