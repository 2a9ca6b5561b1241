"""Runs a policy over a trace; measures cost, shortfall and deadlines met."""

import math
import random
from collections import Counter
from typing import NamedTuple

from ebonydeal._internal.benchmarks.spend.policies import (
    FIRST_TOKEN_S,
    Counts,
    Observation,
    Policy,
)
from ebonydeal._internal.benchmarks.spend.traces import SLOTS, STEP_S, Trace
from ebonydeal._internal.controller.deadline import Backlog
from ebonydeal._internal.controller.demand import DemandConfig, slots_needed
from ebonydeal._internal.controller.values import OfferKey

WARM_UP_S = 120.0
_HOUR = 3600.0
_EPSILON = 1e-6


class Outcome(NamedTuple):
    """Results of a policy on one trace.

    Attributes
    ----------
    cost : float
        Total cost.
    below_share : float
        Share of the time with fewer replicas than the latency target needs.
    met, jobs : int
        Deadlines met, and all deadlines.
    over_ceiling : int
        Steps in which the instances cost more than the ceiling.
    reclaimed, started : int
        Instances reclaimed, and started.
    """

    cost: float
    shortfall_share: float
    met: int
    jobs: int
    over_ceiling: int
    reclaimed: int
    started: int


def needed_replicas(in_flight: float) -> int:
    """Return the replicas that meet the latency target at this load."""
    config = DemandConfig()
    wait = FIRST_TOKEN_S * config.wait_share
    return math.ceil(slots_needed(in_flight, config.service_s, wait) / SLOTS)


class _Run:
    """State of one policy's run over one trace."""

    def __init__(self, trace: Trace, ceiling: float) -> None:
        self.trace = trace
        self.ceiling = ceiling
        self.rng = random.Random(trace.seed + 1)
        self.running: Counter[OfferKey] = Counter()
        self.remaining = {index: job.work_s for index, job in enumerate(trace.jobs)}
        self.completed_at: dict[int, int] = {}
        self.cost = 0.0
        self.shortfall_s = 0.0
        self.over_ceiling = self.reclaimed = self.started = 0

    def step(self, step: int, policy: Policy) -> None:
        """Reclaim instances, apply the policy, add costs, serve, and run jobs."""
        lost = self._reclaim(step)
        observation = self._observe(step)
        counts = policy.decide(observation)
        kept, new = self._apply(counts, observation)
        per_hour = self._hourly_cost(step, kept + new)
        overlapping = self._overlap(step, kept, new, self.ceiling - per_hour)
        overlap_per_hour = self._hourly_cost(step, overlapping)
        self.running = kept + new
        self.cost += (per_hour * STEP_S + overlap_per_hour * WARM_UP_S) / _HOUR
        self.over_ceiling += per_hour + overlap_per_hour > self.ceiling + _EPSILON
        need = needed_replicas(self.trace.in_flight[step])
        before_warm = kept.total() + overlapping.total()
        self._serve(need, before_warm, self.running.total())
        self._run_jobs(step, need, before_warm, self.running.total(), lost)

    def _hourly_cost(self, step: int, counts: Counter[OfferKey]) -> float:
        """Return the hourly cost of instances at the prices of a step."""
        offers = self.trace.offers[step]
        return sum(
            number * offers[key].price_per_hour for key, number in counts.items()
        )

    def _overlap(
        self, step: int, kept: Counter[OfferKey], new: Counter[OfferKey], budget: float
    ) -> Counter[OfferKey]:
        """Return the released instances that serve until ``new`` is warm.

        As in the controller, one old instance is kept and paid for each new one, as
        far as ``budget`` an hour, the rest of the ceiling, allows.
        """
        remaining = new.total()
        overlapping: Counter[OfferKey] = Counter()
        for key, number in sorted((self.running - kept).items()):
            price = self.trace.offers[step][key].price_per_hour
            overlapping[key] = max(0, min(number, remaining, int(budget // price)))
            remaining -= overlapping[key]
            budget -= overlapping[key] * price
        return +overlapping

    def _reclaim(self, step: int) -> int:
        """Reclaim whole zones in bursts, and single instances at their rate."""
        lost = 0
        for key in list(self.running):
            if not key.reclaimable:
                continue
            if key.zone in self.trace.reclaims[step]:
                taken = self.running[key]
            else:
                rate = self.trace.offers[step][key].evict_per_hour * STEP_S / _HOUR
                taken = sum(self.rng.random() < rate for _ in range(self.running[key]))
            self.running[key] -= taken
            lost += taken
        self.running = +self.running
        self.reclaimed += lost
        return lost

    def _observe(self, step: int) -> Observation:
        """Return what the policy observes at a step."""
        trace = self.trace
        blocked = {
            key
            for key in trace.offers[step]
            if key.reclaimable and key.zone in trace.refusing[step]
        }
        backlog = [
            Backlog(job.deadline * STEP_S, self.remaining[index])
            for index, job in enumerate(trace.jobs)
            if job.arrival <= step < job.deadline and self.remaining[index] > 0
        ]
        in_flight = trace.in_flight[max(0, step - 1)]
        return Observation(
            trace.offers[step],
            in_flight,
            Counter(self.running),
            blocked,
            backlog,
            step * STEP_S,
        )

    def _apply(
        self, counts: Counts, observation: Observation
    ) -> tuple[Counter[OfferKey], Counter[OfferKey]]:
        """Return the instances that are kept and those that are started."""
        kept: Counter[OfferKey] = Counter()
        new: Counter[OfferKey] = Counter()
        for key, number in counts.items():
            kept[key] = min(number, self.running[key])
            if key not in observation.blocked:
                new[key] = number - kept[key]
        self.started += new.total()
        return +kept, +new

    def _serve(self, need: int, before_warm: int, after_warm: int) -> None:
        """Add the time with a shortfall, before and after new instances are warm."""
        self.shortfall_s += WARM_UP_S * (before_warm < need)
        self.shortfall_s += (STEP_S - WARM_UP_S) * (after_warm < need)

    def _run_jobs(
        self, step: int, need: int, before_warm: int, after_warm: int, lost: int
    ) -> None:
        """Run jobs on replicas that serving doesn't need, earliest deadline first.

        Each lost instance loses half a step of work.
        """
        before = max(0, before_warm - need) * WARM_UP_S
        after = max(0, after_warm - need) * (STEP_S - WARM_UP_S)
        time = max(0.0, before + after - lost * STEP_S / 2)
        order = sorted(
            self.remaining, key=lambda index: self.trace.jobs[index].deadline
        )
        for index in order:
            job = self.trace.jobs[index]
            if not job.arrival <= step < job.deadline or self.remaining[index] <= 0:
                continue
            used = min(time, self.remaining[index])
            self.remaining[index] -= used
            time -= used
            if self.remaining[index] <= _EPSILON:
                self.remaining[index] = 0.0
                self.completed_at[index] = step


def simulate(trace: Trace, policy: Policy, ceiling: float) -> Outcome:
    """Return the outcome of ``policy`` on ``trace``."""
    run = _Run(trace, ceiling)
    for step in range(trace.steps):
        run.step(step, policy)
    return Outcome(
        cost=run.cost,
        shortfall_share=run.shortfall_s / (trace.steps * STEP_S),
        met=len(run.completed_at),
        jobs=len(trace.jobs),
        over_ceiling=run.over_ceiling,
        reclaimed=run.reclaimed,
        started=run.started,
    )
