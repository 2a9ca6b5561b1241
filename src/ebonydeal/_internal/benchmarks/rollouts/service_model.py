"""Model of a service with an old and a new version and relays, by request counts.

Each step is one decision of the coordinator. Requests are drawn by route; each relay
splits its own by counting, as `TrafficSplit` does; answers are drawn by category.
"""

from enum import StrEnum
from typing import NamedTuple

import numpy as np

from ebonydeal._internal.routing.rollout.tally import CATEGORIES, FAILED

# Time between two decisions of the coordinator.
STEP_S = 0.25
# Half octaves from the lowest time category to the expected one.
_EXPECTED_CATEGORY = 11
_SPREAD_HALF_OCTAVES = 1.3
# Share of the order's duration within which a version that turns bad later does so. A
# fault that begins after the last request was judged can't be detected.
_MAX_ONSET_SHARE = 0.75


class Fault(StrEnum):
    """How a version is bad."""

    NONE = "none"
    FAILS = "fails"
    SLOW = "slow"


class When(StrEnum):
    """When or where a version is bad."""

    AT_ONCE = "at once"
    LATER = "later"
    UNDER_LOAD = "under load"
    ONE_ROUTE = "one route"


class Case(NamedTuple):
    """Parameters of one simulated roll-out.

    Attributes
    ----------
    strength : float
        Share of the answers that fail or are slow.
    factor : float
        How many times slower a slow answer is.
    rates : tuple of float
        Requests a second by route.
    duration : float
        Seconds of the order.
    boot : float
        Seconds until the new endpoints are available.
    old, new : int
        Endpoints of each version.
    disturbed : bool
        Whether temporary slowdowns and failures affect both versions.
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
    disturbed: bool
    seed: int


def draw(seed: int) -> Case:
    """Draw a case from a seed."""
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
        disturbed=bool(rng.random() < 0.5),
        seed=seed,
    )


class Step(NamedTuple):
    """Counts of one step: by route, and for the new version by endpoint too."""

    requests: dict[str, int]
    exposed: int
    bad: int
    old: dict[str, list[int]]
    new: dict[str, dict[str, list[int]]]


class ServiceModel:
    """The service, its endpoints, and the relays' traffic split.

    Parameters
    ----------
    case : Case
        Parameters of the roll-out.
    """

    def __init__(self, case: Case) -> None:
        self.case = case
        self._rng = np.random.default_rng(case.seed + 1_000_000_007)
        self.routes = [f"r{number}" for number in range(len(case.rates))]
        self.old = tuple(f"a{n}" for n in range(case.old))
        self.new = tuple(f"b{n}" for n in range(case.new))
        self._credit = {route: self._rng.random(case.relays) for route in self.routes}
        self._onset_s = float(self._rng.uniform(0.15, _MAX_ONSET_SHARE)) * case.duration
        self._bad_route = self.routes[int(self._rng.integers(len(self.routes)))]
        # Share of an old endpoint's load from which on a bad version fails.
        self._failing_load = float(self._rng.uniform(0.4, 0.9))
        self._base_failure_share = float(self._rng.choice([0.0, 0.005, 0.02, 0.14]))
        self._faulty_endpoint = self.new[int(self._rng.integers(len(self.new)))]
        self._disturbances = self._draw_disturbances()

    def _draw_disturbances(self) -> list[tuple[float, float, float, float]]:
        """Return (begin, end, slowdown, failure share) of each disturbance."""
        if not self.case.disturbed:
            return []
        disturbances = []
        for _ in range(int(self._rng.integers(1, 4))):
            begin = float(self._rng.uniform(0.0, self.case.duration))
            seconds = float(self._rng.uniform(0.5, 5.0))
            slowdown = float(self._rng.choice([1.0, 2.0, 6.0]))
            failing = float(self._rng.choice([0.0, 0.1, 0.4]))
            disturbances.append((begin, begin + seconds, slowdown, failing))
        return disturbances

    def step(
        self, now: float, shares: dict[str, float], canaries: tuple[str, ...]
    ) -> Step:
        """Simulate one step with the current shares."""
        requests: dict[str, int] = {}
        old: dict[str, list[int]] = {}
        new: dict[str, dict[str, list[int]]] = {}
        exposed = bad = 0
        loads = self._relative_load(shares, canaries)
        for route, rate in zip(self.routes, self.case.rates, strict=True):
            count = int(self._rng.poisson(rate * STEP_S))
            requests[route] = count
            to_new = self._send_to_new(route, count, shares.get(route, 0.0), canaries)
            exposed += to_new
            old[route] = self._sound_answers(
                count - to_new, now, self._base_failure_share
            )
            if not to_new:
                continue
            parts = self._rng.multinomial(to_new, [1.0 / len(canaries)] * len(canaries))
            new[route] = {}
            for endpoint_id, part in zip(canaries, parts, strict=True):
                bad_answers, answers = self._new_answers(route, int(part), now, loads)
                bad += bad_answers
                new[route][endpoint_id] = answers
        return Step(requests, exposed, bad, old, new)

    def _relative_load(
        self, shares: dict[str, float], canaries: tuple[str, ...]
    ) -> float:
        """Return a new endpoint's load relative to an old one's before the order."""
        if not canaries:
            return 0.0
        rates = dict(zip(self.routes, self.case.rates, strict=True))
        to_new = sum(rates[route] * share for route, share in shares.items())
        old_load = sum(self.case.rates) / len(self.old)
        return to_new / len(canaries) / max(0.001, old_load)

    def _send_to_new(
        self, route: str, count: int, share: float, canaries: tuple[str, ...]
    ) -> int:
        """Return how many of a route's requests the relays send to the new version."""
        if not canaries or share <= 0.0 or not count:
            return 0
        relays = self.case.relays
        per_relay = self._rng.multinomial(count, [1.0 / relays] * relays)
        credit = self._credit[route] + per_relay * share
        to_new = np.minimum(np.floor(credit), per_relay)
        self._credit[route] = np.minimum(1.0, credit - to_new)
        return int(to_new.sum())

    def _sound_answers(self, count: int, now: float, failing: float) -> list[int]:
        """Return the answers of endpoints without a fault, by category."""
        slowdown = 1.0
        for begin, end, factor, part in self._disturbances:
            if begin <= now < end:
                slowdown, failing = (
                    max(slowdown, factor),
                    max(failing, part),
                )
        return self._draw_answers(count, failing, slowdown, 0.0, 1.0)[1]

    def _new_answers(
        self, route: str, count: int, now: float, load: float
    ) -> tuple[int, list[int]]:
        """Return the number of answers made bad by the version, and all by category."""
        case = self.case
        slowdown, failing = 1.0, self._base_failure_share
        for begin, end, factor, part in self._disturbances:
            if begin <= now < end:
                slowdown, failing = (
                    max(slowdown, factor),
                    max(failing, part),
                )
        if not self._is_bad(route, now, load):
            return 0, self._draw_answers(count, failing, slowdown, 0.0, 1.0)[1]
        if case.fault is Fault.FAILS:
            bad = int(self._rng.binomial(count, case.strength))
            counts = self._draw_answers(count - bad, failing, slowdown, 0.0, 1.0)[1]
            counts[FAILED] += bad
            return bad, counts
        bad, counts = self._draw_answers(
            count, failing, slowdown, case.strength, case.factor
        )
        return bad, counts

    def _is_bad(self, route: str, now: float, load: float) -> bool:
        case = self.case
        if case.fault is Fault.NONE:
            return False
        match case.when:
            case When.LATER:
                return now >= self._onset_s
            case When.UNDER_LOAD:
                return load >= self._failing_load
            case When.ONE_ROUTE:
                return route == self._bad_route
        return True

    def _draw_answers(
        self,
        count: int,
        failing: float,
        slowdown: float,
        part: float,
        factor: float,
    ) -> tuple[int, list[int]]:
        counts = [0] * CATEGORIES
        if count <= 0:
            return 0, counts
        failed = int(self._rng.binomial(count, min(1.0, failing)))
        counts[FAILED] = failed
        good = count - failed
        slow = int(self._rng.binomial(good, part)) if part else 0
        for number, times in ((good - slow, slowdown), (slow, slowdown * factor)):
            if not number:
                continue
            categories = self._rng.normal(
                _EXPECTED_CATEGORY, _SPREAD_HALF_OCTAVES, number
            )
            categories += 2.0 * np.log2(times)
            drawn = np.clip(np.floor(categories), 1, CATEGORIES - 1).astype(int)
            for category, answers in enumerate(
                np.bincount(drawn, minlength=CATEGORIES)
            ):
                counts[category] += int(answers)
        return slow, counts
