"""Runs a policy over a trace and measures what it cost and what it kept."""

import math
import random
from collections import Counter
from typing import NamedTuple

from ebonydeal._internal.benchmarks.spend.policies import (
    FIRST_TOKEN_S,
    Counts,
    Policy,
    Scene,
)
from ebonydeal._internal.benchmarks.spend.traces import SLOTS, STEP_S, Trace
from ebonydeal._internal.controller.deadline import Backlog
from ebonydeal._internal.controller.demand import DemandConfig, slots_needed
from ebonydeal._internal.controller.values import OfferKey

WARM_S = 120.0
_HOUR = 3600.0
_EPS = 1e-6


class Outcome(NamedTuple):
    """What a policy did on one trace.

    Attributes
    ----------
    cost : float
        Spent altogether.
    below_share : float
        Share of the time below the replicas that the latency target needs.
    met, jobs : int
        Deadlines met, and all.
    over_ceiling : int
        Steps in which the instances cost more than the ceiling.
    reclaimed, started : int
        Instances taken back, and started.
    """

    cost: float
    below_share: float
    met: int
    jobs: int
    over_ceiling: int
    reclaimed: int
    started: int


def needed_replicas(in_flight: float) -> int:
    """Return the replicas that hold the latency target at this load."""
    policy = DemandConfig()
    wait = FIRST_TOKEN_S * policy.wait_share
    return math.ceil(slots_needed(in_flight, policy.service_s, wait) / SLOTS)


class _Run:
    """One policy on one trace."""

    def __init__(self, trace: Trace, ceiling: float) -> None:
        self.trace = trace
        self.ceiling = ceiling
        self.rng = random.Random(trace.seed + 1)
        self.running: Counter[OfferKey] = Counter()
        self.left = {index: job.work_s for index, job in enumerate(trace.jobs)}
        self.done_at: dict[int, int] = {}
        self.cost = 0.0
        self.below_s = 0.0
        self.over = self.reclaimed = self.started = 0

    def step(self, step: int, policy: Policy) -> None:
        """Lose what is reclaimed, decide, pay, serve, and work."""
        lost = self._reclaim(step)
        scene = self._scene(step)
        counts = policy.decide(scene)
        kept, new = self._apply(counts, scene)
        per_hour = self._price(step, kept + new)
        old = self._overlap(step, kept, new, self.ceiling - per_hour)
        both = self._price(step, old)
        self.running = kept + new
        self.cost += (per_hour * STEP_S + both * WARM_S) / _HOUR
        self.over += per_hour + both > self.ceiling + _EPS
        need = needed_replicas(self.trace.in_flight[step])
        early = kept.total() + old.total()
        self._serve(need, early, self.running.total())
        self._work(step, need, early, self.running.total(), lost)

    def _price(self, step: int, counts: Counter[OfferKey]) -> float:
        """Return what instances cost an hour at present prices."""
        offers = self.trace.offers[step]
        return sum(
            number * offers[key].price_per_hour for key, number in counts.items()
        )

    def _overlap(
        self, step: int, kept: Counter[OfferKey], new: Counter[OfferKey], money: float
    ) -> Counter[OfferKey]:
        """Return what is released but serves, and is paid, until ``new`` is warm.

        As in the controller, make before break: one old for each new one, as
        far as the ceiling leaves ``money`` an hour.
        """
        left = new.total()
        old: Counter[OfferKey] = Counter()
        for key, number in sorted((self.running - kept).items()):
            price = self.trace.offers[step][key].price_per_hour
            old[key] = max(0, min(number, left, int(money // price)))
            left -= old[key]
            money -= old[key] * price
        return +old

    def _reclaim(self, step: int) -> int:
        """Take back whole zones in waves, and single instances at their rate."""
        lost = 0
        for key in list(self.running):
            if not key.reclaimable:
                continue
            if key.zone in self.trace.waves[step]:
                taken = self.running[key]
            else:
                rate = self.trace.offers[step][key].evict_per_hour * STEP_S / _HOUR
                taken = sum(self.rng.random() < rate for _ in range(self.running[key]))
            self.running[key] -= taken
            lost += taken
        self.running = +self.running
        self.reclaimed += lost
        return lost

    def _scene(self, step: int) -> Scene:
        """Return what the policy sees."""
        trace = self.trace
        blocked = {
            key
            for key in trace.offers[step]
            if key.reclaimable and key.zone in trace.closed[step]
        }
        backlog = [
            Backlog(job.deadline * STEP_S, self.left[index])
            for index, job in enumerate(trace.jobs)
            if job.arrival <= step < job.deadline and self.left[index] > 0
        ]
        seen = trace.in_flight[max(0, step - 1)]
        return Scene(
            trace.offers[step],
            seen,
            Counter(self.running),
            blocked,
            backlog,
            step * STEP_S,
        )

    def _apply(
        self, counts: Counts, scene: Scene
    ) -> tuple[Counter[OfferKey], Counter[OfferKey]]:
        """Return what is kept and what is started."""
        kept: Counter[OfferKey] = Counter()
        new: Counter[OfferKey] = Counter()
        for key, number in counts.items():
            kept[key] = min(number, self.running[key])
            if key not in scene.blocked:
                new[key] = number - kept[key]
        self.started += new.total()
        return +kept, +new

    def _serve(self, need: int, early: int, late: int) -> None:
        """Count the time below strength, before and after the new are warm."""
        self.below_s += WARM_S * (early < need)
        self.below_s += (STEP_S - WARM_S) * (late < need)

    def _work(self, step: int, need: int, early: int, late: int, lost: int) -> None:
        """Do deadline work with what serving leaves, earliest deadline first.

        Each lost instance takes half a step of its work with it.
        """
        before = max(0, early - need) * WARM_S
        after = max(0, late - need) * (STEP_S - WARM_S)
        time = max(0.0, before + after - lost * STEP_S / 2)
        order = sorted(self.left, key=lambda index: self.trace.jobs[index].deadline)
        for index in order:
            job = self.trace.jobs[index]
            if not job.arrival <= step < job.deadline or self.left[index] <= 0:
                continue
            spent = min(time, self.left[index])
            self.left[index] -= spent
            time -= spent
            if self.left[index] <= _EPS:
                self.left[index] = 0.0
                self.done_at[index] = step


def simulate(trace: Trace, policy: Policy, ceiling: float) -> Outcome:
    """Return what ``policy`` does on ``trace``."""
    run = _Run(trace, ceiling)
    for step in range(trace.steps):
        run.step(step, policy)
    return Outcome(
        cost=run.cost,
        below_share=run.below_s / (trace.steps * STEP_S),
        met=len(run.done_at),
        jobs=len(trace.jobs),
        over_ceiling=run.over,
        reclaimed=run.reclaimed,
        started=run.started,
    )
