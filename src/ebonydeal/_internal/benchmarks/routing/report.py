"""Results of the routing benchmark as text tables."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ebonydeal._internal.benchmarks.routing.admission_run import (
    run_admission,
    run_queue,
)
from ebonydeal._internal.benchmarks.routing.decision_time import (
    ENDPOINT_COUNTS,
    measure_decision_time,
)
from ebonydeal._internal.benchmarks.routing.limits_run import LimitRun, make_scenarios
from ebonydeal._internal.benchmarks.routing.loop import (
    SignalConditions,
    SimulationResult,
)
from ebonydeal._internal.benchmarks.routing.retry_run import (
    PHASES,
    run_retries,
    without_budget,
)
from ebonydeal._internal.benchmarks.routing.suite import (
    USERS,
    Estimate,
    User,
    estimate,
    policies,
    run_seeds,
)
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.settings.routing import (
    AdmissionSettings,
    RetrySettings,
    RoutingSettings,
)

LAGS = (0.0, 0.5, 1.0, 2.0, 5.0)
LOSSES = (0.0, 0.1, 0.25, 0.5)
ROUTER = "router"
BASELINE = "random of two"
_LIMIT_KINDS = ("requests_per_s", "tokens_per_s", "concurrency")
_DECISION_COUNT = 300
_OVERLOADS = (0.9, 1.5, 3.0)


class RunPlan(NamedTuple):
    """Extent of a benchmark run: seeds, seconds of each trace, and load."""

    seeds: tuple[int, ...]
    seconds: float
    load: float


class Table(NamedTuple):
    """A table of text cells with a title."""

    title: str
    header: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]

    def text(self) -> str:
        """Return the table with aligned columns."""
        lines = [self.header, *self.rows]
        widths = [max(len(line[i]) for line in lines) for i in range(len(self.header))]
        output = [self.title, ""]
        for line in lines:
            cells = [line[0].ljust(widths[0])]
            cells += [
                cell.rjust(width)
                for cell, width in zip(line[1:], widths[1:], strict=True)
            ]
            output.append("  ".join(cells).rstrip())
        return "\n".join(output) + "\n"


class Point(NamedTuple):
    """One point of the sensitivity plot."""

    user: str
    parameter: str
    value: float
    policy: str
    recomputed: Estimate
    p95: Estimate


def compare_policies(user: User, plan: RunPlan) -> Table:
    """Compare the router with all baselines under the default conditions."""
    rows = []
    for name, make in policies(RoutingSettings()).items():
        runs = run_seeds(user, make, SignalConditions(), *plan)
        rows.append((name, *_cells(runs)))
    conditions = SignalConditions()
    title = (
        f"{user.shape.name}: {sum(user.shape.replicas)} replicas, "
        f"{user.shape.gateways} gateways, lag {conditions.lag:g} s, "
        f"{conditions.loss:.0%} of events lost, load {plan.load:g}, "
        f"{len(plan.seeds)} seeds of {plan.seconds:g} s (mean ± 95 % interval)"
    )
    header = (
        "policy",
        "recomputed ktok",
        "first token p50 s",
        "p95 s",
        "p99 s",
        "in time",
        "cost per 1000 in time",
    )
    return Table(title, header, tuple(rows))


def _cells(runs: Sequence[SimulationResult]) -> tuple[str, ...]:
    def over(value: Callable[[SimulationResult], float]) -> str:
        return str(estimate([value(run) for run in runs]))

    return (
        over(lambda run: run.recomputed / 1000.0),
        over(lambda run: run.p50),
        over(lambda run: run.p95),
        over(lambda run: run.p99),
        over(lambda run: run.in_time / run.answers),
        over(lambda run: run.cost_per_1000),
    )


def sensitivity(user: User, plan: RunPlan) -> list[Point]:
    """Run the router and the baseline at each report lag and event loss."""
    by_name = policies(RoutingSettings())
    points = []
    cases = [("lag", lag, SignalConditions(lag=lag)) for lag in LAGS]
    cases += [("loss", loss, SignalConditions(loss=loss)) for loss in LOSSES]
    for parameter, value, conditions in cases:
        for name in (ROUTER, BASELINE):
            runs = run_seeds(user, by_name[name], conditions, *plan)
            recomputed = estimate([run.recomputed / 1000.0 for run in runs])
            p95 = estimate([run.p95 for run in runs])
            points.append(
                Point(user.shape.name, parameter, value, name, recomputed, p95)
            )
    return points


def sensitivity_table(points: Sequence[Point]) -> Table:
    """Return the points of one user as a table."""
    rows = tuple(
        (
            f"{point.parameter} {point.value:g}",
            point.policy,
            str(point.recomputed),
            str(point.p95),
        )
        for point in points
    )
    title = f"{points[0].user}: sensitivity to report lag (s) and lost events (share)"
    return Table(title, ("case", "policy", "recomputed ktok", "p95 s"), rows)


def limits_table(plan: RunPlan) -> Table:
    """Return the usage of limits summed over nine gateways."""
    rows = []
    for limit in _LIMIT_KINDS:
        for scenario in make_scenarios(limit):
            runs = [
                LimitRun(scenario, AdmissionSettings(), seed).run()
                for seed in plan.seeds
            ]
            rows.append(
                (
                    f"{limit}: {scenario.name}",
                    str(estimate([run.mean for run in runs])),
                    f"{min(run.worst_low for run in runs):.3f}",
                    f"{max(run.worst_high for run in runs):.3f}",
                    str(estimate([run.last for run in runs])),
                )
            )
    title = (
        "client account limits: share of the setting in use, nine gateways, demand "
        "1.5 times the limit, uneven and drawn anew every 20 s"
    )
    header = ("case", "mean", "worst 10 s low", "high", "last 30 s")
    return Table(title, header, tuple(rows))


def admission_table(plan: RunPlan) -> Table:
    """Return timely starts and refusals by priority class under overload."""
    rows = []
    for load in _OVERLOADS:
        for name, run in (("admission", run_admission), ("one queue", run_queue)):
            runs = [run(load, seed) for seed in plan.seeds]
            for priority in Priority:
                own = [outcome[priority] for outcome in runs]
                refused: Counter[str] = Counter()
                for outcome in own:
                    refused.update(outcome.refused)
                rows.append(
                    (
                        f"load {load:g}, {name}: {priority.name.lower()}",
                        str(estimate([item.in_time / item.offered for item in own])),
                        str(estimate([item.late / item.offered for item in own])),
                        ", ".join(f"{kind} {refused[kind]}" for kind in sorted(refused))
                        or "none",
                    )
                )
    title = (
        "admission: shares started in time and too late, and refusals of all seeds "
        "by reason; deadlines 2, 10 and 60 s"
    )
    return Table(title, ("case", "in time", "late", "refused"), tuple(rows))


def retries_table(plan: RunPlan) -> Table:
    """Return sends per request by phase, with and without the retry budget."""
    rows = []
    for name, cfg in (("budget", RetrySettings()), ("four tries", without_budget())):
        runs = [run_retries(cfg, seed) for seed in plan.seeds]
        for number, phase in enumerate(PHASES):
            ratios = [run[number].ratio for run in runs]
            answered = [run[number].answered / run[number].requests for run in runs]
            rows.append(
                (
                    f"{name}: {phase.name}",
                    str(estimate(ratios)),
                    str(estimate(answered)),
                )
            )
    title = "retries: sends per request, and share of requests answered"
    return Table(title, ("case", "sends", "answered"), tuple(rows))


def decision_table(seed: int) -> Table:
    """Return the time of one decision by number of endpoints."""
    rows = []
    for endpoints in ENDPOINT_COUNTS:
        time = measure_decision_time(endpoints, _DECISION_COUNT, seed)
        rows.append((str(endpoints), f"{time.p50:.0f}", f"{time.p99:.0f}"))
    title = "decision time, prompt of 100 blocks (wall time on this machine)"
    return Table(title, ("endpoints", "p50 us", "p99 us"), tuple(rows))


def all_tables(plan: RunPlan) -> tuple[list[Table], list[Point]]:
    """Run all simulations; return all tables and the points of the plot."""
    tables = [compare_policies(user, plan) for user in USERS]
    points: list[Point] = []
    for user in USERS:
        own = sensitivity(user, plan)
        points += own
        tables.append(sensitivity_table(own))
    tables += [admission_table(plan), limits_table(plan), retries_table(plan)]
    tables.append(decision_table(plan.seeds[0]))
    return tables, points
