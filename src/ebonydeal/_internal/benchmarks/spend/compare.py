"""All policies over several traces, and the targets."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from ebonydeal._internal.benchmarks.spend.hindsight import hindsight_cost
from ebonydeal._internal.benchmarks.spend.policies import (
    CheapestFirst,
    Ebonydeal,
    Policy,
    StaticSpread,
)
from ebonydeal._internal.benchmarks.spend.simulate import (
    Outcome,
    needed_replicas,
    simulate,
)
from ebonydeal._internal.benchmarks.spend.traces import (
    WEATHERS,
    Trace,
    Weather,
    make_trace,
)
from ebonydeal._internal.controller.deadline import DeadlineConfig, PriceRule

CEILING = 600.0
MOST_OF_ON_DEMAND = 0.6
MOST_OF_HINDSIGHT = 1.25
HINDSIGHT = "hindsight (bound)"


class Line(NamedTuple):
    """One policy's outcomes, one for each trace."""

    name: str
    outcomes: tuple[Outcome, ...]

    @property
    def cost(self) -> float:
        """Spent over all traces."""
        return sum(item.cost for item in self.outcomes)

    @property
    def below_share(self) -> float:
        """Mean share of the time below strength."""
        return sum(item.below_share for item in self.outcomes) / len(self.outcomes)

    @property
    def met(self) -> int:
        """Deadlines met."""
        return sum(item.met for item in self.outcomes)

    @property
    def jobs(self) -> int:
        """Deadlines altogether."""
        return sum(item.jobs for item in self.outcomes)

    @property
    def over(self) -> int:
        """Steps over the ceiling."""
        return sum(item.over_ceiling for item in self.outcomes)


class Comparison(NamedTuple):
    """All lines; ``bounds`` are the hindsight costs by trace."""

    lines: tuple[Line, ...]
    bounds: tuple[float, ...]

    def line(self, name: str) -> Line:
        """Return one line by its name."""
        return next(line for line in self.lines if line.name == name)


def policies(trace: Trace, ceiling: float) -> list[Policy]:
    """Return fresh policies for one trace; baselines know no ceiling."""
    peak = max(needed_replicas(load) for load in trace.in_flight)
    ours: list[Policy] = [Ebonydeal(rule, ceiling) for rule in PriceRule]
    return [
        Ebonydeal(PriceRule.AT_ONCE, math.inf, on_demand_only=True),
        Ebonydeal(PriceRule.AT_ONCE, math.inf, on_demand_only=True, one_zone=True),
        CheapestFirst(),
        StaticSpread(math.ceil(peak * 1.5)),
        *ours,
    ]


def compare(
    seeds: Iterable[int], weather: Weather = WEATHERS[0], ceiling: float = CEILING
) -> Comparison:
    """Return every policy's outcomes over the traces of ``seeds``."""
    outcomes: dict[str, list[Outcome]] = {}
    bounds = []
    for seed in seeds:
        trace = make_trace(seed, weather)
        bounds.append(hindsight_cost(trace, ceiling))
        for policy in policies(trace, ceiling):
            outcome = simulate(trace, policy, ceiling)
            outcomes.setdefault(policy.name, []).append(outcome)
    lines = [Line(name, tuple(items)) for name, items in outcomes.items()]
    return Comparison(tuple(lines), tuple(bounds))


def chosen_name() -> str:
    """Return the name of the line with the rule that the controller uses."""
    return f"ebonydeal, {DeadlineConfig().rule}"


def targets(result: Comparison) -> list[tuple[str, bool]]:
    """Return each target in words, and whether it holds."""
    ours = result.line(chosen_name())
    firm = result.line("on-demand only")
    bound = sum(result.bounds)
    of_firm, of_bound = ours.cost / firm.cost, ours.cost / bound
    return [
        (f"every deadline met: {ours.met} of {ours.jobs}", ours.met == ours.jobs),
        (
            f"spend {of_firm:.3f}x of on-demand only (at most {MOST_OF_ON_DEMAND})",
            of_firm <= MOST_OF_ON_DEMAND,
        ),
        (
            f"spend {of_bound:.3f}x of hindsight (at most {MOST_OF_HINDSIGHT})",
            of_bound <= MOST_OF_HINDSIGHT,
        ),
        (f"steps over the price ceiling: {ours.over}", ours.over == 0),
    ]


def tight_ceiling(seeds: Iterable[int], share: float = 0.5) -> str:
    """Return what the controller's decisions do under a ceiling that binds.

    Parameters
    ----------
    seeds : iterable of int
        Traces.
    share : float
        Of `CEILING`.
    """
    ceiling = share * CEILING
    lines = []
    for seed in seeds:
        trace = make_trace(seed)
        policy = Ebonydeal(DeadlineConfig().rule, ceiling)
        outcome = simulate(trace, policy, ceiling)
        lines.append(
            f"ceiling {ceiling:.0f}, trace {seed}: cost {outcome.cost:.0f}, "
            f"steps over {outcome.over_ceiling}, "
            f"below strength {100 * outcome.below_share:.2f} %, "
            f"deadlines {outcome.met}/{outcome.jobs}"
        )
    return "\n".join(lines)


def table(result: Comparison) -> str:
    """Return the table as text."""
    firm = result.line("on-demand only").cost
    bound = sum(result.bounds)
    head = (
        f"{'policy':32} {'cost':>9} {'of o-d':>7} {'of hind':>8} "
        f"{'below %':>8} {'deadlines':>10} {'over':>5} {'reclaims':>9} {'starts':>7}"
    )
    lines = [head]
    for line in result.lines:
        reclaims = sum(item.reclaimed for item in line.outcomes)
        starts = sum(item.started for item in line.outcomes)
        hits = f"{line.met}/{line.jobs}"
        lines.append(
            f"{line.name:32} {line.cost:9.0f} {line.cost / firm:7.3f} "
            f"{line.cost / bound:8.3f} {100 * line.below_share:8.3f} {hits:>10} "
            f"{line.over:5d} {reclaims:9d} {starts:7d}"
        )
    lines.append(f"{HINDSIGHT:32} {bound:9.0f} {bound / firm:7.3f} {1.0:8.3f}")
    return "\n".join(lines)
