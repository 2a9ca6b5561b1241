"""Seeded traces of prices, demand, reclaim waves and deadline work."""

import math
import random
from typing import NamedTuple

from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.outside.interfaces import Offer

STEP_S = 300.0
STEPS_A_DAY = 288
SLOTS = 8
ZONES = ("zone-1", "zone-2", "zone-3")
_HOUR = 3600.0
_CLASSES = {"large": 1.0, "medium": 1.15}
_ON_DEMAND = 10.0
_ZONE_FACTOR = {"zone-1": 1.0, "zone-2": 1.03, "zone-3": 1.06}
_EVICT_PER_HOUR = 0.04


class Job(NamedTuple):
    """Deadline work: steps of arrival and deadline, and replica seconds."""

    arrival: int
    deadline: int
    work_s: float


class Weather(NamedTuple):
    """A kind of trace.

    Attributes
    ----------
    name : str
        For the tables.
    daily : float
        Share by which prices swing over the day.
    drift : float
        Share by which prices rise over the whole trace.
    wave_hours : float
        Mean hours between two waves in a zone.
    """

    name: str
    daily: float
    drift: float
    wave_hours: float


WEATHERS = (
    Weather("usual", 0.35, 0.0, 16.0),
    Weather("flat", 0.0, 0.0, 48.0),
    Weather("rising", 0.2, 1.0, 16.0),
    Weather("stormy", 0.35, 0.0, 5.0),
)


class Trace(NamedTuple):
    """What happens to a fleet, step by step.

    Attributes
    ----------
    seed : int
        That made it.
    offers : tuple of dict of OfferKey to Offer
        Prices at each step.
    in_flight : tuple of float
        Mean requests in engines during each step.
    waves : tuple of frozenset of str
        Zones whose reclaimable instances are taken at each step.
    closed : tuple of frozenset of str
        Zones that refuse reclaimable starts at each step.
    jobs : tuple of Job
        Deadline work.
    """

    seed: int
    offers: tuple[dict[OfferKey, Offer], ...]
    in_flight: tuple[float, ...]
    waves: tuple[frozenset[str], ...]
    closed: tuple[frozenset[str], ...]
    jobs: tuple[Job, ...]

    @property
    def steps(self) -> int:
        """Number of steps."""
        return len(self.in_flight)


def make_trace(seed: int, weather: Weather = WEATHERS[0], days: int = 3) -> Trace:
    """Return a trace of ``days`` days."""
    rng = random.Random(seed)
    steps = days * STEPS_A_DAY
    waves, closed, stress = _waves(steps, weather, rng)
    return Trace(
        seed=seed,
        offers=_offers(steps, weather, stress, rng),
        in_flight=tuple(_in_flight(step, rng) for step in range(steps)),
        waves=waves,
        closed=closed,
        jobs=_jobs(days, steps, rng),
    )


def _in_flight(step: int, rng: random.Random) -> float:
    """Return requests in flight: a morning and an evening peak, with noise."""
    hour = step * STEP_S / _HOUR % 24.0
    morning = 120.0 * math.exp(-((hour - 6.5) ** 2) / 4.0)
    evening = 80.0 * math.exp(-((hour - 19.0) ** 2) / 8.0)
    return (40.0 + morning + evening) * rng.uniform(0.92, 1.08)


def _waves(
    steps: int, weather: Weather, rng: random.Random
) -> tuple[
    tuple[frozenset[str], ...], tuple[frozenset[str], ...], dict[str, list[float]]
]:
    """Return waves, refusing zones, and the price stress that goes with them.

    One wave in five takes a second zone a few steps later.
    """
    gap = weather.wave_hours * _HOUR / STEP_S
    waves: list[set[str]] = [set() for _ in range(steps)]
    closed: list[set[str]] = [set() for _ in range(steps)]
    stress = {zone: [0.0] * steps for zone in ZONES}
    for zone in ZONES:
        at = int(rng.expovariate(1.0 / gap))
        while at < steps:
            _add_wave(zone, at, waves, closed, stress, rng)
            if rng.random() < 0.2:
                other = rng.choice([name for name in ZONES if name != zone])
                later = at + rng.randint(1, 3)
                _add_wave(other, later, waves, closed, stress, rng)
            at += 1 + int(rng.expovariate(1.0 / gap))
    return (
        tuple(frozenset(item) for item in waves),
        tuple(frozenset(item) for item in closed),
        stress,
    )


def _add_wave(
    zone: str,
    at: int,
    waves: list[set[str]],
    closed: list[set[str]],
    stress: dict[str, list[float]],
    rng: random.Random,
) -> None:
    """Add one wave: prices rise before it, starts are refused after it."""
    if at >= len(waves):
        return
    waves[at].add(zone)
    for step in range(at, min(len(waves), at + rng.randint(3, 18))):
        closed[step].add(zone)
    height = rng.uniform(0.5, 2.5)
    for step in range(max(0, at - 6), min(len(waves), at + 24)):
        stress[zone][step] = max(stress[zone][step], height)


def _offers(
    steps: int, weather: Weather, stress: dict[str, list[float]], rng: random.Random
) -> tuple[dict[OfferKey, Offer], ...]:
    """Return prices: cheap nights, slow noise by zone and class, stress."""
    noise = {(zone, name): 0.0 for zone in ZONES for name in _CLASSES}
    offers = []
    for step in range(steps):
        hour = step * STEP_S / _HOUR % 24.0
        level_now = 1.0 + weather.drift * step / steps
        swing = weather.daily * math.sin((hour - 8.0) / 24.0 * 2.0 * math.pi)
        daily = level_now * (1.0 + swing)
        at: dict[OfferKey, Offer] = {}
        for (zone, name), level in noise.items():
            noise[(zone, name)] = 0.97 * level + rng.gauss(0.0, 0.05)
            base = _ON_DEMAND * _ZONE_FACTOR[zone] * _CLASSES[name]
            share = 0.3 * daily * math.exp(noise[(zone, name)])
            price = base * min(1.1, share * (1.0 + stress[zone][step]))
            evict = _EVICT_PER_HOUR * (1.0 + 4.0 * stress[zone][step])
            _put(at, Offer(zone, name, True, price, evict, SLOTS))
            _put(at, Offer(zone, name, False, base, 0.0, SLOTS))
        offers.append(at)
    return tuple(offers)


def _put(offers: dict[OfferKey, Offer], offer: Offer) -> None:
    offers[OfferKey.of(offer)] = offer


def _jobs(days: int, steps: int, rng: random.Random) -> tuple[Job, ...]:
    """Return a nightly batch, and smaller work that may wait half a day."""
    jobs = []
    for day in range(days):
        evening = day * STEPS_A_DAY + 20 * 12
        batch = Job(evening, evening + 8 * 12, rng.uniform(60.0, 110.0) * _HOUR)
        jobs.append(batch)
        for _ in range(4):
            arrival = day * STEPS_A_DAY + rng.randrange(STEPS_A_DAY)
            length = rng.randint(8 * 12, 16 * 12)
            work = rng.uniform(4.0, 14.0) * _HOUR
            jobs.append(Job(arrival, arrival + length, work))
    return tuple(sorted(job for job in jobs if job.deadline <= steps))
