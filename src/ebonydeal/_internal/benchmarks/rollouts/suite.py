"""Plays many modelled roll-outs, and adds up what came of them."""

from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from ebonydeal._internal.benchmarks.rollouts.world import (
    STEP_S,
    Case,
    Fault,
    Step,
    World,
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

# The bounds that are kept, whatever terms are tried.
BOUND = ExposureBound(0.1, 50.0)
ROLL_BACK_S = 5.0
_BAD_ANSWERS = 50
# Seconds after an order's end until which it is played on.
_AFTER_S = 6.0
# A stream on an old endpoint runs so long.
_RUN_S = 0.6
# A change reaches relays after this, and a tally is that old besides its period.
_WAY_S = 0.1


class Ways(NamedTuple):
    """What is compared: by name, a test and a plan."""

    test: str = "mixture"
    plan: str = "steady"

    def build_test(self) -> LikelihoodTest:
        """Return a new test."""
        return MixtureTest() if self.test == "mixture" else SingleEffectTest()

    def build_plan(self) -> ExposurePlan:
        """Return a plan."""
        return SteadyPlan() if self.plan == "steady" else LoadedPlan()


class Came(NamedTuple):
    """What came of one roll-out.

    ``exposed`` is a part of the bound; ``late`` seconds for which requests were sent on
    after the bound of rolling back; ``decided`` seconds from the order to the verdict,
    None without one.
    """

    case: Case
    phase: Phase
    exposed: float
    late: float
    decided: float | None
    bad: int
    cut: int


def play(case: Case, ways: Ways) -> Came:
    """Play one roll-out."""
    world = World(case)
    order = RolloutOrder("s", "v2", case.duration, 1)
    terms = RolloutConfig(plan=ways.build_plan())
    course = RolloutState(order, case.duration, terms, ways.build_test())
    period = ReportPacing.of(case.relays, 0.5, 1.0).period
    lag = period + _WAY_S
    told = _Told(course, max(1, round(lag / STEP_S)))
    shares: dict[str, float] = {}
    canaries: tuple[str, ...] = ()
    requests = exposed = bad = 0
    fiftieth: float | None = None
    late = 0.0
    decided: float | None = None
    full_at: float | None = None
    cut = 0
    now = 0.0
    while now < case.duration + _AFTER_S:
        step = world.step(now, shares, canaries)
        now += STEP_S
        if now <= case.duration + STEP_S / 2:
            requests += sum(step.requests.values())
            exposed += step.exposed
        bad += step.bad
        if fiftieth is None and bad >= _BAD_ANSWERS:
            fiftieth = now
        if fiftieth is not None and step.exposed and course.phase is Phase.RUNNING:
            late = max(late, now - fiftieth - ROLL_BACK_S)
        if decided is not None:
            continue
        told.add(step, now)
        new = world.new if now >= case.boot else ()
        drained = full_at is not None and now - full_at >= _RUN_S
        fleet = ServiceEndpoints(world.old, new, 0 if drained else 5)
        verdict = course.decide(fleet, lag, now)
        match verdict:
            case Continue(full=full):
                shares, canaries = verdict.shares, verdict.canaries
                full_at = (full_at or now) if full else None
            case Complete():
                decided, cut = now, verdict.old_in_flight
                shares, canaries = dict.fromkeys(world.routes, 1.0), new
            case RollBack():
                decided = now
                shares, canaries = {}, ()
    most = BOUND.share * requests + BOUND.slack
    return Came(case, course.phase, exposed / most, late, decided, bad, cut)


class _Told:
    """Steps on their way to the coordinator: each is known so many looks later.

    Bad answers are told at once.
    """

    def __init__(self, course: RolloutState, looks: int) -> None:
        self._course = course
        self._looks = looks
        self._counts: list[Step] = []
        self._answers: list[Step] = []

    def add(self, step: Step, now: float) -> None:
        """Take a step; tell those that are due."""
        course = self._course
        self._counts.append(step)
        if len(self._counts) > self._looks:
            due = self._counts.pop(0)
            course.add_requests(due.requests, due.exposed)
        self._answers.append(step)
        keep = 1 if any(waiting.bad for waiting in self._answers) else self._looks
        while len(self._answers) > keep:
            due = self._answers.pop(0)
            course.evidence.add(due.old, due.new, now)


class Line(NamedTuple):
    """Many roll-outs of one kind, summed.

    ``over`` had more than the bound; ``late`` got requests after the bound of rolling
    back; ``wrong`` good ones were rolled back; ``passed`` bad ones completed;
    ``overdue`` got their verdict after the order's end or none; ``exposed`` and ``bad``
    are means, of the bound and of bad answers.
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


def _line(name: str, came: list[Came]) -> Line:
    good = [c for c in came if c.case.fault is Fault.NONE]
    ill = [c for c in came if c.case.fault is not Fault.NONE]
    overdue = [
        c for c in came if c.decided is None or c.decided > c.case.duration + 1e-6
    ]
    return Line(
        name=name,
        played=len(came),
        over=sum(c.exposed > 1.0 for c in ill),
        late=sum(c.late > 0.0 for c in ill),
        wrong=sum(c.phase is Phase.ROLLED_BACK for c in good),
        passed=sum(c.phase is Phase.COMPLETED for c in ill),
        overdue=len(overdue),
        exposed=sum(c.exposed for c in came) / len(came),
        worst=max(c.exposed for c in came),
        bad=sum(c.bad for c in ill) / len(ill) if ill else 0.0,
    )


def _kind(came: Came) -> str:
    case = came.case
    if case.fault is Fault.NONE:
        return "good, with storms" if case.storm else "good"
    strength = "weak" if case.strength < 0.2 else "strong"
    return f"{case.fault}, {case.when}, {strength}"


def play_all(seeds: Iterable[int], ways: Ways, jobs: int) -> list[Came]:
    """Play the roll-outs of ``seeds`` on so many processes."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(_play_seed, ((s, ways) for s in seeds), chunksize=20))


def _play_seed(args: tuple[int, Ways]) -> Came:
    seed, ways = args
    return play(draw(seed), ways)


def lines(came: list[Came]) -> list[Line]:
    """Return what came of them by kind, and of all."""
    grouped = defaultdict(list)
    for one in came:
        grouped[_kind(one)].append(one)
    found = [_line(name, grouped[name]) for name in sorted(grouped)]
    return [*found, _line("all", came)]


def table(rows: list[Line]) -> str:
    """Return the lines as text."""
    head = (
        f"{'kind':<28}{'played':>7}{'over':>6}{'late':>6}{'wrong':>6}{'passed':>7}"
        f"{'overdue':>8}{'exposed':>8}{'worst':>7}{'bad':>8}"
    )
    body = [
        f"{r.name:<28}{r.played:>7}{r.over:>6}{r.late:>6}{r.wrong:>6}{r.passed:>7}"
        f"{r.overdue:>8}{r.exposed:>8.2f}{r.worst:>7.2f}{r.bad:>8.1f}"
        for r in rows
    ]
    return "\n".join([head, *body])
