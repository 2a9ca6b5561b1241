"""Seeded mixes of streams modelled on both users' traffic."""

import random
from collections.abc import Iterator
from typing import NamedTuple

from ebonydeal._internal.utils.prefix import BLOCK_TOKENS


class Job(NamedTuple):
    """One request of a mix.

    Attributes
    ----------
    job_id : str
        Unique.
    arrives : float
        Arrival time, seconds from the start.
    group : str
        Requests that share a prompt prefix: a session, or an inn's manifest.
    prefix : tuple of str
        The full blocks of the prompt.
    prompt_tokens, output_tokens : int
        True lengths.
    """

    job_id: str
    arrives: float
    group: str
    prefix: tuple[str, ...]
    prompt_tokens: int
    output_tokens: int


class Mix(NamedTuple):
    """A pool and its traffic.

    Attributes
    ----------
    name : str
        For the tables.
    zones : tuple of int
        Replicas in each of three availability zones.
    slots : int
        Streams that a replica runs concurrently.
    bursts_per_s : float
        Rate at which bursts arrive.
    burst : tuple of int
        Minimum and maximum requests of a burst; they share a group.
    groups : int
        Number of active groups.
    common_tokens : int
        Tokens of the instructions that every prompt starts with.
    group_tokens : tuple of int
        Minimum and maximum tokens that a group's prompts share beyond that.
    own_tokens : tuple of int
        Minimum and maximum tokens of the request itself.
    output_mu, output_sigma : float
        Parameters of the log-normal output length.
    """

    name: str
    zones: tuple[int, int, int]
    slots: int
    bursts_per_s: float
    burst: tuple[int, int]
    groups: int
    common_tokens: int
    group_tokens: tuple[int, int]
    request_tokens: tuple[int, int]
    output_mu: float
    output_sigma: float


CADWALADR = Mix(
    "cadwaladr",
    zones=(2, 2, 1),
    slots=16,
    bursts_per_s=0.55,
    burst=(4, 10),
    groups=400,
    common_tokens=320,
    group_tokens=(800, 2400),
    request_tokens=(40, 160),
    output_mu=5.9,
    output_sigma=0.5,
)
PALERMO = Mix(
    "palermo",
    zones=(3, 3, 3),
    slots=16,
    bursts_per_s=13.0,
    burst=(1, 1),
    groups=150,
    common_tokens=240,
    group_tokens=(400, 2000),
    request_tokens=(20, 120),
    output_mu=5.1,
    output_sigma=0.6,
)
LONG = PALERMO._replace(name="long", bursts_per_s=1.6, output_mu=7.3)
"""Palermo's pool with answers of half a minute, longer than most notices."""
MIXES = (CADWALADR, PALERMO, LONG)


def _blocks(name: str, tokens: int) -> tuple[str, ...]:
    """Return the names of the full blocks in ``tokens`` tokens."""
    return tuple(f"{name}.{number}" for number in range(tokens // BLOCK_TOKENS))


def generate_jobs(mix: Mix, seconds: float, rng: random.Random) -> Iterator[Job]:
    """Yield the requests of a mix that arrive within ``seconds``, in order."""
    common = _blocks("common", mix.common_tokens)
    sizes = [rng.randint(*mix.group_tokens) for _ in range(mix.groups)]
    now = rng.expovariate(mix.bursts_per_s)
    number = 0
    while now < seconds:
        group = rng.randrange(mix.groups)
        group_blocks = _blocks(f"group{group}", sizes[group])
        for _ in range(rng.randint(*mix.burst)):
            request_length = rng.randint(*mix.request_tokens)
            yield Job(
                job_id=f"r{number}",
                arrives=now,
                group=f"group{group}",
                prefix=common + group_blocks,
                prompt_tokens=mix.common_tokens + sizes[group] + request_length,
                output_tokens=1
                + int(rng.lognormvariate(mix.output_mu, mix.output_sigma)),
            )
            number += 1
        now += rng.expovariate(mix.bursts_per_s)
