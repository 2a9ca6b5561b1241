"""Runs of all policies over all seeds, with confidence intervals."""

from collections.abc import Callable, Sequence
from functools import partial
from math import sqrt
from random import Random
from statistics import mean, stdev
from typing import NamedTuple

from ebonydeal._internal.benchmarks.routing.loop import (
    SignalConditions,
    Simulation,
    SimulationResult,
)
from ebonydeal._internal.benchmarks.routing.policies import (
    LeastOutstanding,
    Policy,
    PrefixHash,
    RandomOfTwo,
    RoundRobin,
    RouterPolicy,
)
from ebonydeal._internal.benchmarks.routing.traces import (
    CADWALADR,
    PALERMO,
    Shape,
    TraceRequest,
    cadwaladr_trace,
    palermo_trace,
)
from ebonydeal._internal.settings.routing import RoutingSettings

# Two-sided 95 % quantiles of Student's t for 1 to 9 degrees of freedom.
_T95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
_HASH_DEPTHS = (32, 100)

MakePolicy = Callable[[Random], Policy]


class User(NamedTuple):
    """One user's cluster shape and traffic."""

    shape: Shape
    make_trace: Callable[[int, float, float], list[TraceRequest]]


USERS = (User(PALERMO, palermo_trace), User(CADWALADR, cadwaladr_trace))


class Estimate(NamedTuple):
    """A mean over seeds with half the width of its 95 % confidence interval."""

    mean: float
    half_width: float

    def __str__(self) -> str:
        """Return ``mean ± half`` with three significant digits."""
        return f"{self.mean:.3g} ± {self.half_width:.2g}"


def estimate(values: Sequence[float]) -> Estimate:
    """Return the mean and confidence interval of one value per seed."""
    if len(values) < 2:
        return Estimate(values[0], float("nan"))
    t = _T95[min(len(values) - 2, len(_T95) - 1)]
    return Estimate(mean(values), t * stdev(values) / sqrt(len(values)))


def policies(cfg: RoutingSettings) -> dict[str, MakePolicy]:
    """Return the router and all baselines by name."""
    by_name: dict[str, MakePolicy] = {
        "router": lambda rng: RouterPolicy(rng, cfg),
        "round robin": RoundRobin,
        "least outstanding": LeastOutstanding,
        "random of two": RandomOfTwo,
    }
    for depth in _HASH_DEPTHS:
        by_name[f"prefix hash {depth}"] = partial(PrefixHash, depth=depth)
    return by_name


def run_seeds(
    user: User,
    make_policy: MakePolicy,
    conditions: SignalConditions,
    seeds: Sequence[int],
    seconds: float,
    load: float,
) -> list[SimulationResult]:
    """Run one policy on the trace of each seed."""
    return [
        Simulation(
            user.shape,
            user.make_trace(seed, seconds, load),
            make_policy,
            conditions,
            seed,
        ).run()
        for seed in seeds
    ]
