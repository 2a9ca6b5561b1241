"""Limits of one client account over several gateways, in total."""

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from ebonydeal._internal.models.document import Account
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.routing.limits.account_limits import AccountLimits
from ebonydeal._internal.settings.routing import AdmissionSettings

_START = 1_000_000.0
_REPORT_PERIOD = 1.0
_LATENCY = (0.1, 3.0)
_DRIFT_S = 20.0
_TOKENS = (100, 900)
_RUN_S = 0.5
_ACCOUNT = "large"
_WARM_S = 10


class LimitScenario(NamedTuple):
    """What happens to the gateways; times in seconds, 0 for never.

    ``offered`` is the demand as a multiple of the limit.
    """

    name: str
    limit: str
    seconds: int = 120
    gateways: int = 9
    offered: float = 1.5
    kill_at: float = 0.0
    join_at: float = 0.0
    split_at: float = 0.0
    heal_at: float = 0.0


_LIMITS = {"requests_per_s": 100.0, "tokens_per_s": 50_000.0, "concurrency": 60.0}


def make_scenarios(limit: str) -> tuple[LimitScenario, ...]:
    """Return all stories of one limit."""
    return (
        LimitScenario("uneven demand", limit),
        LimitScenario("largest gateway killed", limit, kill_at=60.0),
        LimitScenario("new gateway joins", limit, join_at=60.0),
        LimitScenario("peers split 5 to 4", limit, split_at=40.0, heal_at=80.0),
    )


class LimitOutcome(NamedTuple):
    """Use of the limit as a share of the setting.

    ``mean`` over the run after warming up; ``worst_low`` and ``worst_high``
    over any ten seconds; ``last`` over the last thirty.
    """

    mean: float
    worst_low: float
    worst_high: float
    last: float


class LimitRun:
    """Gateways that admit one account's requests by their own parts of a limit."""

    def __init__(self, story: LimitScenario, cfg: AdmissionSettings, seed: int) -> None:
        self._story = story
        self._rng = Random(f"limits-{seed}")
        self._names = [f"gw-{number}" for number in range(story.gateways + 1)]
        account = _make_account(story.limit)
        self._limits = {
            name: AccountLimits.from_config(cfg, name) for name in self._names
        }
        for limits in self._limits.values():
            limits.configure({_ACCOUNT: account})
        self._live = set(self._names[: story.gateways])
        self._shares: dict[str, float] = {}
        self._used = [0.0] * (story.seconds + 1)
        self._in_flight = 0
        self._heap: list[tuple[float, int, str, tuple]] = []
        self._count = 0

    def run(self) -> LimitOutcome:
        """Play the story."""
        story = self._story
        self._drift()
        self._plan(0.0, "arrive")
        for name in self._names:
            self._plan(self._rng.random(), "report", name)
        for second in range(story.seconds):
            self._plan(second + 0.999, "sample", second)
        for step in range(1, int(story.seconds / _DRIFT_S)):
            self._plan(step * _DRIFT_S, "drift")
        if story.kill_at:
            self._plan(story.kill_at, "kill")
        if story.join_at:
            self._plan(story.join_at, "join")
        while self._heap:
            at, _, what, args = heappop(self._heap)
            if at >= story.seconds:
                break
            self._do(what, args, at)
        return self._outcome()

    def _plan(self, at: float, what: str, *args: object) -> None:
        self._count += 1
        heappush(self._heap, (at, self._count, what, args))

    def _do(self, what: str, args: tuple, at: float) -> None:
        match what, args:
            case "arrive", ():
                self._arrive(at)
            case "end", (str(name), float(tokens), float(used)):
                self._in_flight -= 1
                self._limits[name].settle(_ACCOUNT, tokens, used, _START + at)
            case "report", (str(name),):
                self._report(name, at)
            case "hear", (str(name), report):
                if name in self._live:
                    self._limits[name].merge_report(report, _START + at)
            case "sample", (int(second),):
                if self._story.limit == "concurrency":
                    self._used[second] = float(self._in_flight)
            case "drift", ():
                self._drift()
            case "kill", ():
                self._live.remove(max(self._live, key=lambda n: self._shares[n]))
                self._list_members()
            case "join", ():
                self._live.add(self._names[-1])
                self._drift()

    def _drift(self) -> None:
        """Draw how callers spread over the gateways: quite unevenly."""
        self._shares = {name: self._rng.expovariate(1.0) for name in self._names}
        self._list_members()

    def _list_members(self) -> None:
        for name in self._live:
            self._limits[name].set_listed_gateways(frozenset(self._live))

    def _arrive(self, at: float) -> None:
        rng = self._rng
        live = sorted(self._live)
        name = rng.choices(live, [self._shares[item] for item in live])[0]
        tokens = float(rng.randint(*_TOKENS))
        used = tokens * rng.uniform(0.4, 1.0)
        over = self._limits[name].take(_ACCOUNT, tokens, _START + at)
        if over is None:
            self._in_flight += 1
            second = int(at)
            if self._story.limit == "requests_per_s":
                self._used[second] += 1.0
            if self._story.limit == "tokens_per_s":
                self._used[second] += used
            run_s = rng.expovariate(1.0 / _RUN_S)
            self._plan(at + run_s, "end", name, tokens, used)
        self._plan(at + rng.expovariate(self._rate()), "arrive")

    def _rate(self) -> float:
        """Return all gateways' arrivals a second."""
        limit = _LIMITS[self._story.limit]
        used = {
            "requests_per_s": 1.0,
            "tokens_per_s": 0.7 * sum(_TOKENS) / 2.0,
            "concurrency": _RUN_S,
        }
        return limit * self._story.offered / used[self._story.limit]

    def _report(self, name: str, at: float) -> None:
        if name in self._live:
            report = self._limits[name].report(_START + at)
            for other in sorted(self._live - {name}):
                if self._reaches(name, other, at):
                    late = self._rng.uniform(*_LATENCY)
                    self._plan(at + late, "hear", other, report)
        self._plan(at + _REPORT_PERIOD, "report", name)

    def _reaches(self, name: str, other: str, at: float) -> bool:
        story = self._story
        if not story.split_at <= at < story.heal_at:
            return True
        first = self._names[:5]
        return (name in first) == (other in first)

    def _outcome(self) -> LimitOutcome:
        limit = _LIMITS[self._story.limit]
        shares = [used / limit for used in self._used[_WARM_S : self._story.seconds]]
        tens = [sum(shares[i : i + 10]) / 10.0 for i in range(len(shares) - 9)]
        mean = sum(shares) / len(shares)
        return LimitOutcome(mean, min(tens), max(tens), sum(shares[-30:]) / 30.0)


def _make_account(limit: str) -> Account:
    limits = dict.fromkeys(_LIMITS, 0.0)
    limits[limit] = _LIMITS[limit]
    return Account(
        name=_ACCOUNT,
        key_hashes=(),
        requests_per_s=limits["requests_per_s"],
        tokens_per_s=limits["tokens_per_s"],
        concurrency=int(limits["concurrency"]),
        priority=Priority.STANDARD,
    )
