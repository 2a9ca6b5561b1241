"""The faults of one soak, drawn from a seed as overlapping series."""

from enum import StrEnum
from random import Random
from typing import NamedTuple


class Fault(StrEnum):
    """Faults and changes that a soak may inject."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "hang up"
    STORE_UNAVAILABLE = "store away"
    STORE_LOSES_ANSWERS = "store loses answers"
    STORE_CUT = "relay cut from store"
    ENDPOINT_LEAVES = "endpoint leaves"
    ENDPOINT_CRASHES = "endpoint crashes"
    ENDPOINT_LINK_FAULT = "endpoint harmed"
    CONFIG = "configuration changes"
    FATAL_REQUEST = "a request crashes what runs it"
    SUSPENSION = "machine suspended"
    ROLLOUT = "a new version is rolled out"
    MASS_KILL = "many relays are killed at once"
    ANNOUNCES_LIMIT = "an endpoint names a limit"
    ANNOUNCES_LEAVING = "an endpoint says in answers that it leaves"
    REQUESTS_BACKOFF = "an endpoint turns all away and asks for rest"
    CONNECTIONS_SILENT = "open connections fall silent, new ones work"
    FEED_REPLIES_LOST = "replies to polls of the store are lost"
    HISTORY_DROPPED = "the store drops its history of changes"
    ENDPOINT_UNLISTED = "endpoint leaves by the list alone and serves on"
    STORE_RESTORED = "the store comes back from a copy"
    ENDPOINT_LINKS_CUT = "relays lose their links to all endpoints"
    SECOND_VERSION = "endpoints of a second version serve beside the others"
    CROWD = "clients open most new connections to one relay"
    FATAL_PART = "a part of prompts crashes what runs it"
    ENDPOINT_OMITS_LENGTHS = "an endpoint's streams end with their connections"
    OVERLOAD = "an account sends several times what the plain service can run"
    STORE_SILENT = "the store replies to no call"
    PEERS_SILENT = "open connections between relays fall silent, new ones work"
    PEER_UNREACHABLE = "connections to a relay are accepted and carry nothing"
    ENDPOINT_FULL = "endpoints have no room for some requests when they first come"
    ENDPOINTS_SILENT = "streams of some endpoints fall silent and then go on"
    VERSION_UNSEEN = (
        "a relay stands still while a version joins; clients come back there"
    )
    MOVES_REFUSED = "endpoints refuse to have runs moved"
    ENDPOINT_REPLACED = "an endpoint is replaced and serves its runs to their end"
    ENDPOINTS_UNEQUAL = "plain endpoints are of unequal speed, one slows down midway"


class Step(NamedTuple):
    """One fault; ``which`` selects the relay, endpoint or variant by modulo."""

    at: float
    fault: Fault
    seconds: float
    which: int


# Mean seconds between the faults of one series.
_SERIES: tuple[tuple[tuple[Fault, ...], float], ...] = (
    ((Fault.KILL, Fault.STOP, Fault.PAUSE, Fault.RELOAD), 3.0),
    ((Fault.STORE_UNAVAILABLE, Fault.STORE_LOSES_ANSWERS, Fault.STORE_CUT), 5.0),
    ((Fault.ENDPOINT_LEAVES, Fault.ENDPOINT_CRASHES, Fault.ENDPOINT_LINK_FAULT), 3.0),
    ((Fault.CONFIG,), 2.0),
)
# Faults added later are drawn separately, so that each seed keeps its older faults:
# fault, mean seconds between two, and minimum and maximum duration.
_SEPARATE_FAULTS: tuple[tuple[Fault, float, float, float], ...] = (
    (Fault.FATAL_REQUEST, 4.0, 6.0, 9.0),
    # Longer than the lease.
    (Fault.SUSPENSION, 12.0, 3.0, 4.5),
)
# A soak has at most one roll-out: its latest start and its range of durations.
_MAX_ROLLOUT_START_S = 1.5
_ROLLOUT_RANGE_S = (5.0, 7.0)
_ROLLOUT_SEED = 2_000_003
# Mean seconds between two mass kills of relays, and the range of their durations.
_MASS_KILL_MEAN_S = 9.0
_MASS_KILL_RANGE_S = (0.2, 1.5)
_MASS_KILL_SEED = 3_000_017
# Announcements of endpoints, as in `_SEPARATE_FAULTS`. The checks of a limit begin
# some seconds after its announcement.
_ANNOUNCEMENT_FAULTS: tuple[tuple[Fault, float, float, float], ...] = (
    (Fault.ANNOUNCES_LIMIT, 2.0, 5.0, 8.0),
    (Fault.ANNOUNCES_LEAVING, 9.0, 2.5, 5.0),
    (Fault.REQUESTS_BACKOFF, 7.0, 1.0, 4.0),
)
_ANNOUNCEMENT_SEED = 4_000_037
_SEPARATE_SEED = 1_000_003
# Endpoints that leave by the list alone: mean seconds between two, how long they serve
# on, and what goes before. The check counts them if that is longer ago than the time
# after which relays are in touch again.
_DEPARTURE_MEAN_S = 6.0
_DEPARTURE_SERVE_RANGE_S = (4.0, 7.0)
_DEPARTURE_DELAY_RANGE_S = (3.05, 3.3)
_DEPARTURE_FAULTS = (
    Fault.CONNECTIONS_SILENT,
    Fault.CONNECTIONS_SILENT,
    Fault.FEED_REPLIES_LOST,
    Fault.HISTORY_DROPPED,
)
_DEPARTURE_FAULT_RANGE_S = (0.3, 1.5)
_DEPARTURE_SEED = 5_000_011
# Stores that come back from a copy: mean seconds between two, age of the copy, and the
# time for which the store is away.
_RESTORE_MEAN_S = 8.0
_RESTORE_RANGE_S = (1.0, 4.0)
_RESTORE_DELAY_RANGE_S = (3.2, 3.6)
_RESTORE_SEED = 7_000_003
RESTORE_AWAY_S = 0.5
# Mean seconds between two cuts of relays from all endpoints, and their duration: longer
# than the time after which the check counts requests.
_LINK_CUT_MEAN_S = 6.0
_LINK_CUT_RANGE_S = (5.0, 8.0)
_LINK_CUT_SEED = 6_000_023
# Endpoints of a second version without an order, and endpoints without lengths, as in
# `_SEPARATE_FAULTS`.
_STREAM_FAULTS: tuple[tuple[Fault, float, float, float], ...] = (
    (Fault.SECOND_VERSION, 4.0, 4.0, 7.0),
    (Fault.ENDPOINT_OMITS_LENGTHS, 3.0, 1.0, 3.0),
)
_STREAM_SEED = 8_000_009
# A part of prompts that crashes endpoints, and crowds at one relay that are longer than
# the time after which the check counts requests, as in `_SEPARATE_FAULTS`.
_PART_FAULTS: tuple[tuple[Fault, float, float, float], ...] = (
    (Fault.FATAL_PART, 8.0, 6.0, 9.0),
    (Fault.CROWD, 5.0, 5.0, 7.0),
)
_PART_SEED = 9_000_011
# Overloads: range of the first one's start, which follows some seconds of ordinary
# load, their duration, the time from one's end to the next one's start, in which the
# check sees the recovery, and the mean of what is added to it.
_OVERLOAD_START_RANGE_S = (2.5, 4.0)
_OVERLOAD_RANGE_S = (2.5, 4.0)
_OVERLOAD_GAP_S = 9.0
_OVERLOAD_MEAN_S = 4.0
_OVERLOAD_SEED = 10_000_019
# Plain endpoints of unequal speed, as in `_SEPARATE_FAULTS`.
_UNEQUAL_FAULTS = ((Fault.ENDPOINTS_UNEQUAL, 6.0, 6.0, 9.0),)
_UNEQUAL_SEED = 11_000_027
# Faults that may delay a configuration: their latest start, range of durations, and the
# time from their end to the changes that follow. The check counts requests some seconds
# after their end.
_MAX_STALE_START_S = 3.0
_STALE_RANGE_S = (2.5, 8.0)
_STALE_FAULTS = (
    (Fault.STORE_SILENT,),
    (Fault.PEERS_SILENT,),
    (Fault.PEERS_SILENT, Fault.CONNECTIONS_SILENT),
    (Fault.PEER_UNREACHABLE,),
)
_CHANGE_DELAYS_S = ((0.05, 0.3), (0.6, 0.9))
_STALE_QUIET_END_S = 5.0
_STALE_SEED = 12_000_029
# Endpoints that refuse requests, as in `_SEPARATE_FAULTS`.
_REFUSAL_FAULTS = ((Fault.ENDPOINT_FULL, 4.0, 2.0, 4.0),)
_REFUSAL_SEED = 13_000_027
# Versions that join unseen: earliest start, when relays have followed the list for a
# lifetime of streams, mean seconds between two, and the time for which they serve.
_MIN_UNSEEN_START_S = 7.5
_UNSEEN_MEAN_S = 8.0
_UNSEEN_RANGE_S = (3.0, 4.0)
_UNSEEN_SEED = 14_000_029
# Endpoints whose streams fall silent, as in `_SEPARATE_FAULTS`.
_SILENCE_FAULTS = ((Fault.ENDPOINTS_SILENT, 4.0, 2.0, 4.0),)
_SILENCE_SEED = 15_000_043
# Planned work while endpoints refuse to have runs moved: mean seconds between two such
# times, their duration, and the time between two endpoints that are replaced and two
# relays that are told to read their settings again or to stop.
_PLANNED_WORK_MEAN_S = 12.0
_PLANNED_WORK_RANGE_S = (4.0, 6.0)
_REPLACEMENT_GAP_S = (0.8, 1.4)
_RELAY_WORK_GAP_S = (0.7, 1.5)
_PLANNED_WORK_SEED = 16_000_057
# No fault begins in the last seconds, so that running requests and faults can end.
_QUIET_END_S = 3.0


def make_plan(seed: int, seconds: float) -> list[Step]:
    """Return the faults of a seed, ordered by time.

    Half of the seeds omit one series, so that the others also run without it.
    """
    rng = Random(seed)
    series = list(_SERIES)
    if rng.random() < 0.5:
        series.remove(rng.choice(series))
    steps = []
    for faults, mean in series:
        at = rng.uniform(0.5, mean)
        while at < seconds - _QUIET_END_S:
            length = rng.uniform(0.3, 2.5)
            steps.append(Step(at, rng.choice(faults), length, rng.randrange(1000)))
            at += rng.expovariate(1.0 / mean) + 0.3
    separate = [
        *_draw_separate(_SEPARATE_FAULTS, seed + _SEPARATE_SEED, seconds),
        *_draw_separate(_ANNOUNCEMENT_FAULTS, seed + _ANNOUNCEMENT_SEED, seconds),
        *_draw_rollout(seed, seconds),
        *_draw_mass_kills(seed, seconds),
        *_draw_departures(seed, seconds),
        *_draw_restores(seed, seconds),
        *_draw_separate(
            ((Fault.ENDPOINT_LINKS_CUT, _LINK_CUT_MEAN_S, *_LINK_CUT_RANGE_S),),
            seed + _LINK_CUT_SEED,
            seconds,
        ),
        *_draw_separate(_STREAM_FAULTS, seed + _STREAM_SEED, seconds),
        *_draw_separate(_PART_FAULTS, seed + _PART_SEED, seconds),
        *_draw_overloads(seed, seconds),
        *_draw_separate(_UNEQUAL_FAULTS, seed + _UNEQUAL_SEED, seconds),
        *_draw_stale_configs(seed, seconds),
        *_draw_separate(_REFUSAL_FAULTS, seed + _REFUSAL_SEED, seconds),
        *_draw_unseen_versions(seed, seconds),
        *_draw_separate(_SILENCE_FAULTS, seed + _SILENCE_SEED, seconds),
        *_draw_planned_work(seed, seconds),
    ]
    return sorted([*steps, *separate])


def _draw_stale_configs(seed: int, seconds: float) -> list[Step]:
    """Return faults after which the configuration changes, if there is time for one."""
    rng = Random(seed + _STALE_SEED)
    at = rng.uniform(0.5, _MAX_STALE_START_S)
    length = rng.uniform(*_STALE_RANGE_S)
    faults = rng.choice(_STALE_FAULTS)
    which = rng.randrange(1000)
    if Fault.PEERS_SILENT in faults:
        length = 0.0
    if at + length + _STALE_QUIET_END_S > seconds:
        return []
    changes = [
        Step(at + length + rng.uniform(*delay), Fault.CONFIG, 0.0, which)
        for delay in _CHANGE_DELAYS_S
    ]
    return [*(Step(at, fault, length, which) for fault in faults), *changes]


def _draw_unseen_versions(seed: int, seconds: float) -> list[Step]:
    """Return the versions that join while a relay stands still."""
    rng = Random(seed + _UNSEEN_SEED)
    steps = []
    at = rng.uniform(_MIN_UNSEEN_START_S, _MIN_UNSEEN_START_S + 1.0)
    while at < seconds - _QUIET_END_S:
        length = rng.uniform(*_UNSEEN_RANGE_S)
        steps.append(Step(at, Fault.VERSION_UNSEEN, length, rng.randrange(1000)))
        at += length + rng.expovariate(1.0 / _UNSEEN_MEAN_S)
    return steps


def _draw_planned_work(seed: int, seconds: float) -> list[Step]:
    """Return the planned work amid refused moves: endpoints and relays, one by one."""
    rng = Random(seed + _PLANNED_WORK_SEED)
    series = (
        ((Fault.ENDPOINT_REPLACED,), _REPLACEMENT_GAP_S),
        ((Fault.RELOAD, Fault.STOP), _RELAY_WORK_GAP_S),
    )
    steps = []
    begin = rng.uniform(0.5, _PLANNED_WORK_MEAN_S)
    while begin < seconds - _QUIET_END_S:
        length = rng.uniform(*_PLANNED_WORK_RANGE_S)
        end = min(begin + length, seconds - _QUIET_END_S)
        steps.append(Step(begin, Fault.MOVES_REFUSED, length, rng.randrange(1000)))
        for faults, gap in series:
            at = begin + rng.uniform(*gap)
            while at < end:
                steps.append(Step(at, rng.choice(faults), 0.0, rng.randrange(1000)))
                at += rng.uniform(*gap)
        begin += length + rng.expovariate(1.0 / _PLANNED_WORK_MEAN_S)
    return steps


def _draw_mass_kills(seed: int, seconds: float) -> list[Step]:
    """Return the mass kills of relays."""
    rng = Random(seed + _MASS_KILL_SEED)
    steps = []
    at = rng.uniform(1.0, _MASS_KILL_MEAN_S)
    while at < seconds - _QUIET_END_S:
        length = rng.uniform(*_MASS_KILL_RANGE_S)
        steps.append(Step(at, Fault.MASS_KILL, length, rng.randrange(1000)))
        at += rng.expovariate(1.0 / _MASS_KILL_MEAN_S) + 1.0
    return steps


def _draw_departures(seed: int, seconds: float) -> list[Step]:
    """Return endpoints that leave by the list alone, each after a fault of polls."""
    rng = Random(seed + _DEPARTURE_SEED)
    steps: list[Step] = []
    at = rng.uniform(0.5, _DEPARTURE_MEAN_S)
    while True:
        length = rng.uniform(*_DEPARTURE_FAULT_RANGE_S)
        fault = Step(at, rng.choice(_DEPARTURE_FAULTS), length, rng.randrange(1000))
        ends_at = at + (length if fault.fault is Fault.FEED_REPLIES_LOST else 0.0)
        leaves_at = ends_at + rng.uniform(*_DEPARTURE_DELAY_RANGE_S)
        if leaves_at >= seconds - _QUIET_END_S:
            return steps
        serve_s = rng.uniform(*_DEPARTURE_SERVE_RANGE_S)
        which = rng.randrange(1000)
        steps += [fault, Step(leaves_at, Fault.ENDPOINT_UNLISTED, serve_s, which)]
        at = leaves_at + rng.expovariate(1.0 / _DEPARTURE_MEAN_S)


def _draw_restores(seed: int, seconds: float) -> list[Step]:
    """Return restored stores, each followed by an endpoint that leaves by the list."""
    rng = Random(seed + _RESTORE_SEED)
    steps: list[Step] = []
    at = rng.uniform(1.0, _RESTORE_MEAN_S)
    while True:
        lost_s = rng.uniform(*_RESTORE_RANGE_S)
        delay_s = rng.uniform(*_RESTORE_DELAY_RANGE_S)
        leaves_at = at + lost_s + RESTORE_AWAY_S + delay_s
        if leaves_at >= seconds - _QUIET_END_S:
            return steps
        steps += [
            Step(at, Fault.STORE_RESTORED, lost_s, rng.randrange(1000)),
            Step(
                leaves_at,
                Fault.ENDPOINT_UNLISTED,
                rng.uniform(*_DEPARTURE_SERVE_RANGE_S),
                rng.randrange(1000),
            ),
        ]
        at = leaves_at + rng.expovariate(1.0 / _RESTORE_MEAN_S)


def _draw_rollout(seed: int, seconds: float) -> list[Step]:
    """Return the roll-out of a seed, if there is time for one."""
    rng = Random(seed + _ROLLOUT_SEED)
    at = rng.uniform(0.5, _MAX_ROLLOUT_START_S)
    length = rng.uniform(*_ROLLOUT_RANGE_S)
    if at + length + _QUIET_END_S > seconds:
        return []
    return [Step(at, Fault.ROLLOUT, length, rng.randrange(1000))]


def _draw_overloads(seed: int, seconds: float) -> list[Step]:
    """Return the overloads of the plain service."""
    rng = Random(seed + _OVERLOAD_SEED)
    steps = []
    at = rng.uniform(*_OVERLOAD_START_RANGE_S)
    while at < seconds - _QUIET_END_S:
        length = rng.uniform(*_OVERLOAD_RANGE_S)
        steps.append(Step(at, Fault.OVERLOAD, length, rng.randrange(1000)))
        at += length + _OVERLOAD_GAP_S + rng.expovariate(1.0 / _OVERLOAD_MEAN_S)
    return steps


def _draw_separate(
    faults: tuple[tuple[Fault, float, float, float], ...], seed: int, seconds: float
) -> list[Step]:
    """Return faults drawn separately; faults of one kind don't overlap."""
    rng = Random(seed)
    steps = []
    for fault, mean, min_seconds, max_seconds in faults:
        at = rng.uniform(0.5, mean)
        while at < seconds - _QUIET_END_S:
            length = rng.uniform(min_seconds, max_seconds)
            steps.append(Step(at, fault, length, rng.randrange(1000)))
            at += length + rng.expovariate(1.0 / mean)
    return steps
