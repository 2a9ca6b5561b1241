"""Compares all policies over several traces, and checks the targets."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from ebonydeal._internal.benchmarks.spend.hindsight import hindsight_cost
from ebonydeal._internal.benchmarks.spend.policies import (
    CheapestFirst,
    ControllerPolicy,
    Policy,
    StaticSpread,
)
from ebonydeal._internal.benchmarks.spend.simulate import (
    Outcome,
    needed_replicas,
    simulate,
)
from ebonydeal._internal.benchmarks.spend.traces import (
    TRACE_KINDS,
    Trace,
    TraceKind,
    make_trace,
)
from ebonydeal._internal.controller.deadline import DeadlineConfig, PriceRule

CEILING = 600.0
MAX_OF_ON_DEMAND = 0.6
MAX_OF_HINDSIGHT = 1.25
HINDSIGHT = "hindsight (bound)"


class PolicyResult(NamedTuple):
    """One policy's outcomes, one for each trace."""

    name: str
    outcomes: tuple[Outcome, ...]

    @property
    def cost(self) -> float:
        """Total cost over all traces."""
        return sum(item.cost for item in self.outcomes)

    @property
    def shortfall_share(self) -> float:
        """Mean share of the time with too few ready replicas."""
        return sum(item.shortfall_share for item in self.outcomes) / len(self.outcomes)

    @property
    def met(self) -> int:
        """Number of deadlines met."""
        return sum(item.met for item in self.outcomes)

    @property
    def jobs(self) -> int:
        """Total number of deadlines."""
        return sum(item.jobs for item in self.outcomes)

    @property
    def over(self) -> int:
        """Number of steps over the ceiling."""
        return sum(item.over_ceiling for item in self.outcomes)


class Comparison(NamedTuple):
    """Results of all policies; ``bounds`` are the hindsight costs by trace."""

    lines: tuple[PolicyResult, ...]
    bounds: tuple[float, ...]

    def line(self, name: str) -> PolicyResult:
        """Return a policy's result by its name."""
        return next(line for line in self.lines if line.name == name)


def policies(trace: Trace, ceiling: float) -> list[Policy]:
    """Return new policies for one trace; the baselines have no ceiling."""
    peak = max(needed_replicas(load) for load in trace.in_flight)
    controller: list[Policy] = [ControllerPolicy(rule, ceiling) for rule in PriceRule]
    return [
        ControllerPolicy(PriceRule.AT_ONCE, math.inf, on_demand_only=True),
        ControllerPolicy(
            PriceRule.AT_ONCE, math.inf, on_demand_only=True, one_zone=True
        ),
        CheapestFirst(),
        StaticSpread(math.ceil(peak * 1.5)),
        *controller,
    ]


def compare(
    seeds: Iterable[int], kind: TraceKind = TRACE_KINDS[0], ceiling: float = CEILING
) -> Comparison:
    """Return every policy's outcomes over the traces of ``seeds``."""
    outcomes: dict[str, list[Outcome]] = {}
    bounds = []
    for seed in seeds:
        trace = make_trace(seed, kind)
        bounds.append(hindsight_cost(trace, ceiling))
        for policy in policies(trace, ceiling):
            outcome = simulate(trace, policy, ceiling)
            outcomes.setdefault(policy.name, []).append(outcome)
    lines = [PolicyResult(name, tuple(items)) for name, items in outcomes.items()]
    return Comparison(tuple(lines), tuple(bounds))


def controller_policy_name() -> str:
    """Return the name of the policy with the controller's default price rule."""
    return f"ebonydeal, {DeadlineConfig().rule}"


def targets(result: Comparison) -> list[tuple[str, bool]]:
    """Return a description of each target and whether it is met."""
    controller = result.line(controller_policy_name())
    baseline = result.line("on-demand only")
    bound = sum(result.bounds)
    to_on_demand, to_bound = controller.cost / baseline.cost, controller.cost / bound
    return [
        (
            f"every deadline met: {controller.met} of {controller.jobs}",
            controller.met == controller.jobs,
        ),
        (
            f"spend {to_on_demand:.3f}x of on-demand only (at most {MAX_OF_ON_DEMAND})",
            to_on_demand <= MAX_OF_ON_DEMAND,
        ),
        (
            f"spend {to_bound:.3f}x of hindsight (at most {MAX_OF_HINDSIGHT})",
            to_bound <= MAX_OF_HINDSIGHT,
        ),
        (f"steps over the price ceiling: {controller.over}", controller.over == 0),
    ]


def tight_ceiling(seeds: Iterable[int], share: float = 0.5) -> str:
    """Return the controller's results under a price ceiling that limits it.

    Parameters
    ----------
    seeds : iterable of int
        Traces.
    share : float
        Ceiling as a share of `CEILING`.
    """
    ceiling = share * CEILING
    lines = []
    for seed in seeds:
        trace = make_trace(seed)
        policy = ControllerPolicy(DeadlineConfig().rule, ceiling)
        outcome = simulate(trace, policy, ceiling)
        lines.append(
            f"ceiling {ceiling:.0f}, trace {seed}: cost {outcome.cost:.0f}, "
            f"steps over {outcome.over_ceiling}, "
            f"below strength {100 * outcome.shortfall_share:.2f} %, "
            f"deadlines {outcome.met}/{outcome.jobs}"
        )
    return "\n".join(lines)


def table(result: Comparison) -> str:
    """Return the table as text."""
    on_demand = result.line("on-demand only").cost
    hindsight = sum(result.bounds)
    header = (
        f"{'policy':32} {'cost':>9} {'of o-d':>7} {'of hind':>8} "
        f"{'below %':>8} {'deadlines':>10} {'over':>5} {'reclaims':>9} {'starts':>7}"
    )
    lines = [header]
    for line in result.lines:
        reclaims = sum(item.reclaimed for item in line.outcomes)
        starts = sum(item.started for item in line.outcomes)
        met = f"{line.met}/{line.jobs}"
        lines.append(
            f"{line.name:32} {line.cost:9.0f} {line.cost / on_demand:7.3f} "
            f"{line.cost / hindsight:8.3f} {100 * line.shortfall_share:8.3f} {met:>10} "
            f"{line.over:5d} {reclaims:9d} {starts:7d}"
        )
    lines.append(
        f"{HINDSIGHT:32} {hindsight:9.0f} {hindsight / on_demand:7.3f} {1.0:8.3f}"
    )
    return "\n".join(lines)
