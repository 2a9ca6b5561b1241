"""Simulation of one client account's limits across several gateways."""

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from ebonydeal._internal.models.document import Account
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.routing.limits.account_limits import AccountLimits
from ebonydeal._internal.settings.routing import AdmissionSettings

_START_S = 1_000_000.0
_REPORT_INTERVAL_S = 1.0
_REPORT_LATENCY_S = (0.1, 3.0)
_REDISTRIBUTION_INTERVAL_S = 20.0
_TOKENS = (100, 900)
_RUN_S = 0.5
_ACCOUNT = "large"
_WARM_UP_S = 10


class LimitScenario(NamedTuple):
    """What happens to the gateways; times in seconds, 0 means never.

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
    """Usage as a fraction of the configured limit.

    ``mean`` covers the run after the warm-up; ``worst_low`` and ``worst_high`` are
    the extremes over any ten seconds; ``last`` covers the last thirty.
    """

    mean: float
    worst_low: float
    worst_high: float
    last: float


class LimitRun:
    """Gateways that admit one account's requests, each by its share of a limit."""

    def __init__(
        self, scenario: LimitScenario, cfg: AdmissionSettings, seed: int
    ) -> None:
        self._scenario = scenario
        self._rng = Random(f"limits-{seed}")
        self._names = [f"gw-{number}" for number in range(scenario.gateways + 1)]
        account = _make_account(scenario.limit)
        self._limits = {
            name: AccountLimits.from_config(cfg, name) for name in self._names
        }
        for limits in self._limits.values():
            limits.configure({_ACCOUNT: account})
        self._live = set(self._names[: scenario.gateways])
        self._demand_weights: dict[str, float] = {}
        self._used = [0.0] * (scenario.seconds + 1)
        self._in_flight = 0
        self._heap: list[tuple[float, int, str, tuple]] = []
        self._event_count = 0

    def run(self) -> LimitOutcome:
        """Simulate the scenario."""
        scenario = self._scenario
        self._redistribute()
        self._schedule(0.0, "arrive")
        for name in self._names:
            self._schedule(self._rng.random(), "report", name)
        for second in range(scenario.seconds):
            self._schedule(second + 0.999, "sample", second)
        for step in range(1, int(scenario.seconds / _REDISTRIBUTION_INTERVAL_S)):
            self._schedule(step * _REDISTRIBUTION_INTERVAL_S, "drift")
        if scenario.kill_at:
            self._schedule(scenario.kill_at, "kill")
        if scenario.join_at:
            self._schedule(scenario.join_at, "join")
        while self._heap:
            at, _, what, args = heappop(self._heap)
            if at >= scenario.seconds:
                break
            self._handle(what, args, at)
        return self._outcome()

    def _schedule(self, at: float, what: str, *args: object) -> None:
        self._event_count += 1
        heappush(self._heap, (at, self._event_count, what, args))

    def _handle(self, what: str, args: tuple, at: float) -> None:
        match what, args:
            case "arrive", ():
                self._arrive(at)
            case "end", (str(name), float(tokens), float(used)):
                self._in_flight -= 1
                self._limits[name].settle(_ACCOUNT, tokens, used, _START_S + at)
            case "report", (str(name),):
                self._report(name, at)
            case "hear", (str(name), report):
                if name in self._live:
                    self._limits[name].merge_report(report, _START_S + at)
            case "sample", (int(second),):
                if self._scenario.limit == "concurrency":
                    self._used[second] = float(self._in_flight)
            case "drift", ():
                self._redistribute()
            case "kill", ():
                self._live.remove(
                    max(self._live, key=lambda n: self._demand_weights[n])
                )
                self._update_members()
            case "join", ():
                self._live.add(self._names[-1])
                self._redistribute()

    def _redistribute(self) -> None:
        """Draw new, uneven demand weights for the gateways."""
        self._demand_weights = {
            name: self._rng.expovariate(1.0) for name in self._names
        }
        self._update_members()

    def _update_members(self) -> None:
        for name in self._live:
            self._limits[name].set_listed_gateways(frozenset(self._live))

    def _arrive(self, at: float) -> None:
        rng = self._rng
        live = sorted(self._live)
        name = rng.choices(live, [self._demand_weights[item] for item in live])[0]
        tokens = float(rng.randint(*_TOKENS))
        used = tokens * rng.uniform(0.4, 1.0)
        exceeded = self._limits[name].take(_ACCOUNT, tokens, _START_S + at)
        if exceeded is None:
            self._in_flight += 1
            second = int(at)
            if self._scenario.limit == "requests_per_s":
                self._used[second] += 1.0
            if self._scenario.limit == "tokens_per_s":
                self._used[second] += used
            run_s = rng.expovariate(1.0 / _RUN_S)
            self._schedule(at + run_s, "end", name, tokens, used)
        self._schedule(at + rng.expovariate(self._arrival_rate()), "arrive")

    def _arrival_rate(self) -> float:
        """Return the arrivals a second, summed over all gateways."""
        limit = _LIMITS[self._scenario.limit]
        used = {
            "requests_per_s": 1.0,
            "tokens_per_s": 0.7 * sum(_TOKENS) / 2.0,
            "concurrency": _RUN_S,
        }
        return limit * self._scenario.offered / used[self._scenario.limit]

    def _report(self, name: str, at: float) -> None:
        if name in self._live:
            report = self._limits[name].report(_START_S + at)
            for other in sorted(self._live - {name}):
                if self._can_reach(name, other, at):
                    latency = self._rng.uniform(*_REPORT_LATENCY_S)
                    self._schedule(at + latency, "hear", other, report)
        self._schedule(at + _REPORT_INTERVAL_S, "report", name)

    def _can_reach(self, name: str, other: str, at: float) -> bool:
        scenario = self._scenario
        if not scenario.split_at <= at < scenario.heal_at:
            return True
        first_side = self._names[:5]
        return (name in first_side) == (other in first_side)

    def _outcome(self) -> LimitOutcome:
        limit = _LIMITS[self._scenario.limit]
        shares = [
            used / limit for used in self._used[_WARM_UP_S : self._scenario.seconds]
        ]
        ten_second_means = [
            sum(shares[i : i + 10]) / 10.0 for i in range(len(shares) - 9)
        ]
        mean = sum(shares) / len(shares)
        return LimitOutcome(
            mean, min(ten_second_means), max(ten_second_means), sum(shares[-30:]) / 30.0
        )


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
