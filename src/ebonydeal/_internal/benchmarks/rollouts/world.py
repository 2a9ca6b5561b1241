"""A service with an old and a new version, and the relays before it, as counts.

Each step of the model is one look of the coordinator. Requests of the step are drawn by
route; each relay deals its own out by counting, as `TrafficSplit` does; answers are
drawn by category; what relays counted is told with their period, one after the other.
"""

from enum import StrEnum
from typing import NamedTuple

import numpy as np

from ebonydeal._internal.routing.rollout.tally import CATEGORIES, FAILED

# A look of the coordinator, seconds.
STEP_S = 0.25
# Half octaves from the least category of time to what is expected.
_USUAL = 11
_SPREAD_HALF_OCTAVES = 1.3
# Part of the order's time by which a version that turns bad later has done so: one that
# does after its last request was judged can't be found by anybody.
_TURNS_BY = 0.75


class Fault(StrEnum):
    """How a version is bad."""

    NONE = "none"
    FAILS = "fails"
    SLOW = "slow"


class When(StrEnum):
    """From when or where on it is."""

    AT_ONCE = "at once"
    LATER = "later"
    UNDER_LOAD = "under load"
    ONE_ROUTE = "one route"


class Case(NamedTuple):
    """One roll-out to be played.

    Attributes
    ----------
    strength : float
        Part of the answers that fail or are slow.
    factor : float
        How many times slower a slow one is.
    rates : tuple of float
        Requests a second by route.
    duration : float
        Seconds of the order.
    boot : float
        Seconds until new endpoints are there.
    old, new : int
        Endpoints of each version.
    storm : bool
        Whether bursts, waves and crashes hit both versions meanwhile.
    """

    fault: Fault
    when: When
    strength: float
    factor: float
    rates: tuple[float, ...]
    duration: float
    relays: int
    boot: float
    old: int
    new: int
    storm: bool
    seed: int


def draw(seed: int) -> Case:
    """Return the case of a seed."""
    rng = np.random.default_rng(seed)
    fault = (Fault.NONE, Fault.FAILS, Fault.SLOW)[int(rng.integers(3))]
    routes = int(rng.integers(1, 6))
    rate = float(10.0 ** rng.uniform(1.0, 3.48))
    parts = rng.dirichlet([1.5] * routes)
    old = int(rng.integers(3, 41))
    return Case(
        fault=fault,
        when=list(When)[int(rng.integers(len(When)))],
        strength=float(rng.choice([0.05, 0.1, 0.2, 0.4, 0.7, 1.0])),
        factor=float(rng.uniform(2.0, 10.0)),
        rates=tuple(float(rate * part) for part in parts),
        duration=float(rng.uniform(6.0, 60.0)),
        relays=int(rng.choice([9, 68, 195])),
        boot=float(rng.uniform(0.5, 3.0)),
        old=old,
        new=old,
        storm=bool(rng.random() < 0.5),
        seed=seed,
    )


class Step(NamedTuple):
    """What happened in one step: by route, and by route and endpoint."""

    requests: dict[str, int]
    exposed: int
    bad: int
    old: dict[str, list[int]]
    new: dict[str, dict[str, list[int]]]


class World:
    """The service, its endpoints, and what relays deal out.

    Parameters
    ----------
    case : Case
        What is played.
    """

    def __init__(self, case: Case) -> None:
        self.case = case
        self._rng = np.random.default_rng(case.seed + 1_000_000_007)
        self.routes = [f"r{number}" for number in range(len(case.rates))]
        self.old = tuple(f"a{n}" for n in range(case.old))
        self.new = tuple(f"b{n}" for n in range(case.new))
        self._credit = {route: self._rng.random(case.relays) for route in self.routes}
        self._turns_bad = float(self._rng.uniform(0.15, _TURNS_BY)) * case.duration
        self._bad_route = self.routes[int(self._rng.integers(len(self.routes)))]
        # Part of an old endpoint's usual load above which a version fails.
        self._bad_load = float(self._rng.uniform(0.4, 0.9))
        self._usual_failures = float(self._rng.choice([0.0, 0.005, 0.02, 0.14]))
        self._ill = self.new[int(self._rng.integers(len(self.new)))]
        self._storms = self._draw_storms()

    def _draw_storms(self) -> list[tuple[float, float, float, float]]:
        """Return troubles of both versions: begin, end, slower by, failures."""
        if not self.case.storm:
            return []
        storms = []
        for _ in range(int(self._rng.integers(1, 4))):
            begin = float(self._rng.uniform(0.0, self.case.duration))
            seconds = float(self._rng.uniform(0.5, 5.0))
            slower = float(self._rng.choice([1.0, 2.0, 6.0]))
            failing = float(self._rng.choice([0.0, 0.1, 0.4]))
            storms.append((begin, begin + seconds, slower, failing))
        return storms

    def step(
        self, now: float, shares: dict[str, float], canaries: tuple[str, ...]
    ) -> Step:
        """Play one step with the shares in force."""
        requests: dict[str, int] = {}
        old: dict[str, list[int]] = {}
        new: dict[str, dict[str, list[int]]] = {}
        exposed = bad = 0
        loads = self._load(shares, canaries)
        for route, rate in zip(self.routes, self.case.rates, strict=True):
            count = int(self._rng.poisson(rate * STEP_S))
            requests[route] = count
            over = self._dealt(route, count, shares.get(route, 0.0), canaries)
            exposed += over
            old[route] = self._answers(count - over, now, self._usual_failures)
            if not over:
                continue
            parts = self._rng.multinomial(over, [1.0 / len(canaries)] * len(canaries))
            new[route] = {}
            for endpoint_id, part in zip(canaries, parts, strict=True):
                ill, answers = self._new_answers(route, int(part), now, loads)
                bad += ill
                new[route][endpoint_id] = answers
        return Step(requests, exposed, bad, old, new)

    def _load(self, shares: dict[str, float], canaries: tuple[str, ...]) -> float:
        """Return a new endpoint's load, in that of an old one before the order."""
        if not canaries:
            return 0.0
        rates = dict(zip(self.routes, self.case.rates, strict=True))
        over = sum(rates[route] * share for route, share in shares.items())
        usual = sum(self.case.rates) / len(self.old)
        return over / len(canaries) / max(0.001, usual)

    def _dealt(
        self, route: str, count: int, share: float, canaries: tuple[str, ...]
    ) -> int:
        """Return how many of a route's requests relays give to the new version."""
        if not canaries or share <= 0.0 or not count:
            return 0
        relays = self.case.relays
        each = self._rng.multinomial(count, [1.0 / relays] * relays)
        credit = self._credit[route] + each * share
        over = np.minimum(np.floor(credit), each)
        self._credit[route] = np.minimum(1.0, credit - over)
        return int(over.sum())

    def _answers(self, count: int, now: float, failing: float) -> list[int]:
        """Return answers of sound endpoints by category."""
        slower = 1.0
        for begin, end, factor, part in self._storms:
            if begin <= now < end:
                slower, failing = max(slower, factor), max(failing, part)
        return self._drawn(count, failing, slower, 0.0, 1.0)[1]

    def _new_answers(
        self, route: str, count: int, now: float, load: float
    ) -> tuple[int, list[int]]:
        """Return how many answers are bad by the version, and all by category."""
        case = self.case
        slower, failing = 1.0, self._usual_failures
        for begin, end, factor, part in self._storms:
            if begin <= now < end:
                slower, failing = max(slower, factor), max(failing, part)
        if not self._is_bad(route, now, load):
            return 0, self._drawn(count, failing, slower, 0.0, 1.0)[1]
        if case.fault is Fault.FAILS:
            bad = int(self._rng.binomial(count, case.strength))
            counts = self._drawn(count - bad, failing, slower, 0.0, 1.0)[1]
            counts[FAILED] += bad
            return bad, counts
        bad, counts = self._drawn(count, failing, slower, case.strength, case.factor)
        return bad, counts

    def _is_bad(self, route: str, now: float, load: float) -> bool:
        case = self.case
        if case.fault is Fault.NONE:
            return False
        match case.when:
            case When.LATER:
                return now >= self._turns_bad
            case When.UNDER_LOAD:
                return load >= self._bad_load
            case When.ONE_ROUTE:
                return route == self._bad_route
        return True

    def _drawn(
        self, count: int, failing: float, slower: float, part: float, factor: float
    ) -> tuple[int, list[int]]:
        counts = [0] * CATEGORIES
        if count <= 0:
            return 0, counts
        failed = int(self._rng.binomial(count, min(1.0, failing)))
        counts[FAILED] = failed
        good = count - failed
        slow = int(self._rng.binomial(good, part)) if part else 0
        for number, times in ((good - slow, slower), (slow, slower * factor)):
            if not number:
                continue
            places = self._rng.normal(_USUAL, _SPREAD_HALF_OCTAVES, number)
            places += 2.0 * np.log2(times)
            found = np.clip(np.floor(places), 1, CATEGORIES - 1).astype(int)
            for place, seen in enumerate(np.bincount(found, minlength=CATEGORIES)):
                counts[place] += int(seen)
        return slow, counts
