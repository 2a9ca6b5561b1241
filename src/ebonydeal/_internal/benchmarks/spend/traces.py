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
    """Deadline work: arrival and deadline as steps, and work in replica seconds."""

    arrival: int
    deadline: int
    work_s: float


class TraceKind(NamedTuple):
    """Parameters of a kind of trace.

    Attributes
    ----------
    name : str
        Name in the tables.
    daily : float
        Amplitude of the daily price cycle, as a share of the price.
    drift : float
        Relative price rise over the whole trace.
    wave_hours : float
        Mean hours between two reclaim bursts in a zone.
    """

    name: str
    daily: float
    drift: float
    reclaim_hours: float


TRACE_KINDS = (
    TraceKind("usual", 0.35, 0.0, 16.0),
    TraceKind("flat", 0.0, 0.0, 48.0),
    TraceKind("rising", 0.2, 1.0, 16.0),
    TraceKind("stormy", 0.35, 0.0, 5.0),
)


class Trace(NamedTuple):
    """Prices, demand, reclaims and jobs at each step.

    Attributes
    ----------
    seed : int
        Seed that the trace was drawn from.
    offers : tuple of dict of OfferKey to Offer
        Prices at each step.
    in_flight : tuple of float
        Mean requests in engines during each step.
    waves : tuple of frozenset of str
        Zones whose reclaimable instances are reclaimed at each step.
    closed : tuple of frozenset of str
        Zones that refuse starts of reclaimable instances at each step.
    jobs : tuple of Job
        Deadline work.
    """

    seed: int
    offers: tuple[dict[OfferKey, Offer], ...]
    in_flight: tuple[float, ...]
    reclaims: tuple[frozenset[str], ...]
    refusing: tuple[frozenset[str], ...]
    jobs: tuple[Job, ...]

    @property
    def steps(self) -> int:
        """Number of steps."""
        return len(self.in_flight)


def make_trace(seed: int, kind: TraceKind = TRACE_KINDS[0], days: int = 3) -> Trace:
    """Return a trace of ``days`` days."""
    rng = random.Random(seed)
    steps = days * STEPS_A_DAY
    reclaims, refusing, price_stress = _reclaim_bursts(steps, kind, rng)
    return Trace(
        seed=seed,
        offers=_offers(steps, kind, price_stress, rng),
        in_flight=tuple(_in_flight(step, rng) for step in range(steps)),
        reclaims=reclaims,
        refusing=refusing,
        jobs=_jobs(days, steps, rng),
    )


def _in_flight(step: int, rng: random.Random) -> float:
    """Return requests in flight: a morning and an evening peak, with noise."""
    hour = step * STEP_S / _HOUR % 24.0
    morning = 120.0 * math.exp(-((hour - 6.5) ** 2) / 4.0)
    evening = 80.0 * math.exp(-((hour - 19.0) ** 2) / 8.0)
    return (40.0 + morning + evening) * rng.uniform(0.92, 1.08)


def _reclaim_bursts(
    steps: int, kind: TraceKind, rng: random.Random
) -> tuple[
    tuple[frozenset[str], ...], tuple[frozenset[str], ...], dict[str, list[float]]
]:
    """Return reclaimed zones, refusing zones, and the relative price increases.

    One reclaim burst in five reclaims a second zone a few steps later.
    """
    mean_interval = kind.reclaim_hours * _HOUR / STEP_S
    reclaims: list[set[str]] = [set() for _ in range(steps)]
    refusing: list[set[str]] = [set() for _ in range(steps)]
    price_stress = {zone: [0.0] * steps for zone in ZONES}
    for zone in ZONES:
        at = int(rng.expovariate(1.0 / mean_interval))
        while at < steps:
            _add_reclaim_burst(zone, at, reclaims, refusing, price_stress, rng)
            if rng.random() < 0.2:
                other = rng.choice([name for name in ZONES if name != zone])
                later = at + rng.randint(1, 3)
                _add_reclaim_burst(other, later, reclaims, refusing, price_stress, rng)
            at += 1 + int(rng.expovariate(1.0 / mean_interval))
    return (
        tuple(frozenset(item) for item in reclaims),
        tuple(frozenset(item) for item in refusing),
        price_stress,
    )


def _add_reclaim_burst(
    zone: str,
    at: int,
    reclaims: list[set[str]],
    refusing: list[set[str]],
    price_stress: dict[str, list[float]],
    rng: random.Random,
) -> None:
    """Add one reclaim: prices rise before it, and starts are refused after it."""
    if at >= len(reclaims):
        return
    reclaims[at].add(zone)
    for step in range(at, min(len(reclaims), at + rng.randint(3, 18))):
        refusing[step].add(zone)
    peak = rng.uniform(0.5, 2.5)
    for step in range(max(0, at - 6), min(len(reclaims), at + 24)):
        price_stress[zone][step] = max(price_stress[zone][step], peak)


def _offers(
    steps: int,
    kind: TraceKind,
    price_stress: dict[str, list[float]],
    rng: random.Random,
) -> tuple[dict[OfferKey, Offer], ...]:
    """Return prices with a daily cycle, slow noise by zone and class, and stress."""
    noise = {(zone, name): 0.0 for zone in ZONES for name in _CLASSES}
    offers = []
    for step in range(steps):
        hour = step * STEP_S / _HOUR % 24.0
        drifted = 1.0 + kind.drift * step / steps
        daily_swing = kind.daily * math.sin((hour - 8.0) / 24.0 * 2.0 * math.pi)
        daily = drifted * (1.0 + daily_swing)
        step_offers: dict[OfferKey, Offer] = {}
        for (zone, name), level in noise.items():
            noise[(zone, name)] = 0.97 * level + rng.gauss(0.0, 0.05)
            base = _ON_DEMAND * _ZONE_FACTOR[zone] * _CLASSES[name]
            share = 0.3 * daily * math.exp(noise[(zone, name)])
            price = base * min(1.1, share * (1.0 + price_stress[zone][step]))
            evict = _EVICT_PER_HOUR * (1.0 + 4.0 * price_stress[zone][step])
            _add_offer(step_offers, Offer(zone, name, True, price, evict, SLOTS))
            _add_offer(step_offers, Offer(zone, name, False, base, 0.0, SLOTS))
        offers.append(step_offers)
    return tuple(offers)


def _add_offer(offers: dict[OfferKey, Offer], offer: Offer) -> None:
    offers[OfferKey.of(offer)] = offer


def _jobs(days: int, steps: int, rng: random.Random) -> tuple[Job, ...]:
    """Return a nightly batch job, and smaller jobs due within about half a day."""
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
