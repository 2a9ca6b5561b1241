"""Simulates many roll-outs and summarizes their results."""

from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from ebonydeal._internal.benchmarks.rollouts.service_model import (
    STEP_S,
    Case,
    Fault,
    ServiceModel,
    Step,
    draw,
)
from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.routing.duties.report_pacing import ReportPacing
from ebonydeal._internal.routing.rollout.evidence import (
    LikelihoodTest,
    MixtureTest,
    SingleEffectTest,
)
from ebonydeal._internal.routing.rollout.exposure import (
    ExposureBound,
    ExposurePlan,
    LoadedPlan,
    SteadyPlan,
)
from ebonydeal._internal.routing.rollout.rollout_state import (
    Complete,
    Continue,
    RollBack,
    RolloutConfig,
    RolloutState,
    ServiceEndpoints,
)

# Bounds that every variant must keep.
EXPOSURE_BOUND = ExposureBound(0.1, 50.0)
ROLL_BACK_S = 5.0
_MAX_BAD_ANSWERS = 50
# Seconds simulated after the end of an order.
_AFTER_ORDER_S = 6.0
# Duration of a stream on an old endpoint.
_STREAM_S = 0.6
# Delay of a change on its way to relays; a tally is delayed by this and the period.
_MESSAGE_DELAY_S = 0.1


class Variant(NamedTuple):
    """A variant under comparison: names of the test and the plan."""

    test: str = "mixture"
    plan: str = "steady"

    def build_test(self) -> LikelihoodTest:
        """Return a new instance of the test."""
        return MixtureTest() if self.test == "mixture" else SingleEffectTest()

    def build_plan(self) -> ExposurePlan:
        """Return the plan."""
        return SteadyPlan() if self.plan == "steady" else LoadedPlan()


class RolloutResult(NamedTuple):
    """Result of one roll-out.

    ``exposed`` is the exposure relative to the bound; ``late`` the seconds for which
    the version still got requests after the time limit of rolling back; ``decided``
    the seconds from the order to the verdict, None without one.
    """

    case: Case
    phase: Phase
    exposed: float
    late: float
    decided: float | None
    bad: int
    cut: int


def simulate(case: Case, variant: Variant) -> RolloutResult:
    """Simulate one roll-out."""
    service = ServiceModel(case)
    order = RolloutOrder("s", "v2", case.duration, 1)
    config = RolloutConfig(plan=variant.build_plan())
    rollout = RolloutState(order, case.duration, config, variant.build_test())
    period = ReportPacing.of(case.relays, 0.5, 1.0).period
    lag = period + _MESSAGE_DELAY_S
    reports = _DelayedReports(rollout, max(1, round(lag / STEP_S)))
    shares: dict[str, float] = {}
    canaries: tuple[str, ...] = ()
    requests = exposed = bad = 0
    bad_limit_at: float | None = None
    late = 0.0
    decided: float | None = None
    full_since: float | None = None
    cut = 0
    now = 0.0
    while now < case.duration + _AFTER_ORDER_S:
        step = service.step(now, shares, canaries)
        now += STEP_S
        if now <= case.duration + STEP_S / 2:
            requests += sum(step.requests.values())
            exposed += step.exposed
        bad += step.bad
        if bad_limit_at is None and bad >= _MAX_BAD_ANSWERS:
            bad_limit_at = now
        if bad_limit_at is not None and step.exposed and rollout.phase is Phase.RUNNING:
            late = max(late, now - bad_limit_at - ROLL_BACK_S)
        if decided is not None:
            continue
        reports.add(step, now)
        new = service.new if now >= case.boot else ()
        drained = full_since is not None and now - full_since >= _STREAM_S
        endpoints = ServiceEndpoints(service.old, new, 0 if drained else 5)
        verdict = rollout.decide(endpoints, lag, now)
        match verdict:
            case Continue(full=full):
                shares, canaries = verdict.shares, verdict.canaries
                full_since = (full_since or now) if full else None
            case Complete():
                decided, cut = now, verdict.old_in_flight
                shares, canaries = dict.fromkeys(service.routes, 1.0), new
            case RollBack():
                decided = now
                shares, canaries = {}, ()
    max_exposed = EXPOSURE_BOUND.share * requests + EXPOSURE_BOUND.slack
    return RolloutResult(
        case, rollout.phase, exposed / max_exposed, late, decided, bad, cut
    )


class _DelayedReports:
    """Delays the relays' reports to the coordinator by a number of steps.

    Once one of the waiting steps has bad answers, all answers are reported at once.
    """

    def __init__(self, rollout: RolloutState, delay_steps: int) -> None:
        self._rollout = rollout
        self._delay_steps = delay_steps
        self._requests: list[Step] = []
        self._answers: list[Step] = []

    def add(self, step: Step, now: float) -> None:
        """Add a step's report, and deliver the reports that are due."""
        rollout = self._rollout
        self._requests.append(step)
        if len(self._requests) > self._delay_steps:
            due = self._requests.pop(0)
            rollout.add_requests(due.requests, due.exposed)
        self._answers.append(step)
        delay = (
            1 if any(waiting.bad for waiting in self._answers) else self._delay_steps
        )
        while len(self._answers) > delay:
            due = self._answers.pop(0)
            rollout.evidence.add(due.old, due.new, now)


class SummaryRow(NamedTuple):
    """Summary of the roll-outs of one kind.

    ``over`` counts bad versions above the bound; ``late`` bad ones that got requests
    after the time limit of rolling back; ``wrong`` good ones rolled back; ``passed``
    bad ones completed; ``overdue`` verdicts after the order's end or missing.
    ``exposed`` is the mean exposure relative to the bound, ``worst`` its maximum;
    ``bad`` is the mean number of bad answers.
    """

    name: str
    played: int
    over: int
    late: int
    wrong: int
    passed: int
    overdue: int
    exposed: float
    worst: float
    bad: float


def _summary_row(name: str, results: list[RolloutResult]) -> SummaryRow:
    good = [r for r in results if r.case.fault is Fault.NONE]
    faulty = [r for r in results if r.case.fault is not Fault.NONE]
    overdue = [
        r for r in results if r.decided is None or r.decided > r.case.duration + 1e-6
    ]
    return SummaryRow(
        name=name,
        played=len(results),
        over=sum(r.exposed > 1.0 for r in faulty),
        late=sum(r.late > 0.0 for r in faulty),
        wrong=sum(r.phase is Phase.ROLLED_BACK for r in good),
        passed=sum(r.phase is Phase.COMPLETED for r in faulty),
        overdue=len(overdue),
        exposed=sum(r.exposed for r in results) / len(results),
        worst=max(r.exposed for r in results),
        bad=sum(r.bad for r in faulty) / len(faulty) if faulty else 0.0,
    )


def _kind(result: RolloutResult) -> str:
    case = result.case
    if case.fault is Fault.NONE:
        return "good, with storms" if case.disturbed else "good"
    strength = "weak" if case.strength < 0.2 else "strong"
    return f"{case.fault}, {case.when}, {strength}"


def simulate_all(
    seeds: Iterable[int], variant: Variant, jobs: int
) -> list[RolloutResult]:
    """Simulate the roll-outs of ``seeds`` in ``jobs`` processes."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(
            pool.map(_simulate_seed, ((s, variant) for s in seeds), chunksize=20)
        )


def _simulate_seed(args: tuple[int, Variant]) -> RolloutResult:
    seed, variant = args
    return simulate(draw(seed), variant)


def summarize(results: list[RolloutResult]) -> list[SummaryRow]:
    """Return a summary of each kind, and of all."""
    grouped = defaultdict(list)
    for result in results:
        grouped[_kind(result)].append(result)
    rows = [_summary_row(name, grouped[name]) for name in sorted(grouped)]
    return [*rows, _summary_row("all", results)]


def table(rows: list[SummaryRow]) -> str:
    """Return the rows as text."""
    header = (
        f"{'kind':<28}{'played':>7}{'over':>6}{'late':>6}{'wrong':>6}{'passed':>7}"
        f"{'overdue':>8}{'exposed':>8}{'worst':>7}{'bad':>8}"
    )
    body = [
        f"{r.name:<28}{r.played:>7}{r.over:>6}{r.late:>6}{r.wrong:>6}{r.passed:>7}"
        f"{r.overdue:>8}{r.exposed:>8.2f}{r.worst:>7.2f}{r.bad:>8.1f}"
        for r in rows
    ]
    return "\n".join([header, *body])
