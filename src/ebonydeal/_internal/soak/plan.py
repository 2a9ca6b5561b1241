"""What a seed does in one soak: series of faults that overlap."""

from enum import StrEnum
from random import Random
from typing import NamedTuple


class Fault(StrEnum):
    """Everything that may be done to the system."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    HANG_UP = "hang up"
    STORE_AWAY = "store away"
    STORE_LOSES = "store loses answers"
    STORE_CUT = "relay cut from store"
    ENDPOINT_LEAVES = "endpoint leaves"
    ENDPOINT_CRASHES = "endpoint crashes"
    ENDPOINT_HARMED = "endpoint harmed"
    CONFIG = "configuration changes"
    FATAL_REQUEST = "a request crashes what runs it"
    SUSPENSION = "machine suspended"
    ROLLOUT = "a new version is rolled out"
    HERD_KILL = "many relays are killed at once"
    NAMES_LIMIT = "an endpoint names a limit"
    SAYS_LEAVING = "an endpoint says in answers that it leaves"
    ASKS_FOR_REST = "an endpoint turns all away and asks for rest"


class Step(NamedTuple):
    """One fault: when it begins, for how long, and which of the things it hits."""

    at: float
    fault: Fault
    seconds: float
    which: int


# Mean seconds between the faults of one series.
_SERIES: tuple[tuple[tuple[Fault, ...], float], ...] = (
    ((Fault.KILL, Fault.STOP, Fault.PAUSE, Fault.HANG_UP), 3.0),
    ((Fault.STORE_AWAY, Fault.STORE_LOSES, Fault.STORE_CUT), 5.0),
    ((Fault.ENDPOINT_LEAVES, Fault.ENDPOINT_CRASHES, Fault.ENDPOINT_HARMED), 3.0),
    ((Fault.CONFIG,), 2.0),
)
# Faults that came later are drawn apart, so that the older ones stay as they were for
# each seed: kinds, mean seconds between two, and the shortest and longest.
_LATER: tuple[tuple[Fault, float, float, float], ...] = (
    (Fault.FATAL_REQUEST, 4.0, 6.0, 9.0),
    # Longer than a lease.
    (Fault.SUSPENSION, 12.0, 3.0, 4.5),
)
# At most one roll-out a soak, from early on, and the seconds of its order.
_ROLLOUT_FROM_S = 1.5
_ROLLOUT_S = (5.0, 7.0)
_ROLLOUT_SEED = 2_000_003
# Mean seconds between two losses of many relays, and for how long they are away.
_HERD_MEAN_S = 9.0
_HERD_S = (0.2, 1.5)
_HERD_SEED = 3_000_017
# Faults of what endpoints say, as in `_LATER`. A limit is checked from some seconds on.
_SAID: tuple[tuple[Fault, float, float, float], ...] = (
    (Fault.NAMES_LIMIT, 2.0, 5.0, 8.0),
    (Fault.SAYS_LEAVING, 9.0, 2.5, 5.0),
    (Fault.ASKS_FOR_REST, 7.0, 1.0, 4.0),
)
_SAID_SEED = 4_000_037
_LATER_SEED = 1_000_003
# The last seconds are calm, so that what was begun can end.
_CALM_S = 3.0


def make_plan(seed: int, seconds: float) -> list[Step]:
    """Return the faults of a seed, in order.

    Half of the seeds leave one series out, so that each is also seen alone.
    """
    rng = Random(seed)
    series = list(_SERIES)
    if rng.random() < 0.5:
        series.remove(rng.choice(series))
    steps = []
    for faults, mean in series:
        at = rng.uniform(0.5, mean)
        while at < seconds - _CALM_S:
            length = rng.uniform(0.3, 2.5)
            steps.append(Step(at, rng.choice(faults), length, rng.randrange(1000)))
            at += rng.expovariate(1.0 / mean) + 0.3
    apart = [
        *_drawn(_LATER, seed + _LATER_SEED, seconds),
        *_drawn(_SAID, seed + _SAID_SEED, seconds),
        *_rollouts(seed, seconds),
        *_herds(seed, seconds),
    ]
    return sorted([*steps, *apart])


def _herds(seed: int, seconds: float) -> list[Step]:
    """Return the losses of many relays at once."""
    rng = Random(seed + _HERD_SEED)
    steps = []
    at = rng.uniform(1.0, _HERD_MEAN_S)
    while at < seconds - _CALM_S:
        length = rng.uniform(*_HERD_S)
        steps.append(Step(at, Fault.HERD_KILL, length, rng.randrange(1000)))
        at += rng.expovariate(1.0 / _HERD_MEAN_S) + 1.0
    return steps


def _rollouts(seed: int, seconds: float) -> list[Step]:
    """Return the roll-out of a seed, where there is time for one."""
    rng = Random(seed + _ROLLOUT_SEED)
    at = rng.uniform(0.5, _ROLLOUT_FROM_S)
    length = rng.uniform(*_ROLLOUT_S)
    if at + length + _CALM_S > seconds:
        return []
    return [Step(at, Fault.ROLLOUT, length, rng.randrange(1000))]


def _drawn(
    faults: tuple[tuple[Fault, float, float, float], ...], seed: int, seconds: float
) -> list[Step]:
    """Return the faults that are drawn apart, each kind one after the other."""
    rng = Random(seed)
    steps = []
    for fault, mean, least, most in faults:
        at = rng.uniform(0.5, mean)
        while at < seconds - _CALM_S:
            length = rng.uniform(least, most)
            steps.append(Step(at, fault, length, rng.randrange(1000)))
            at += length + rng.expovariate(1.0 / mean)
    return steps
