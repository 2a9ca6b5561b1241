"""Limits the number of endpoints that are scored for one request.

The scored endpoints are those that probably have cached the request-specific part of
the prompt, the prompt's home, and a random sample of the others.
This bounds the time of a decision, and a sample is enough to find a lightly loaded
endpoint.
"""

from collections.abc import Callable, Sequence
from random import Random

from ebonydeal._internal.models.endpoints import EndpointView

_MAX_PROBE_BLOCKS = 4


def probe_blocks(blocks: Sequence[str], split: int) -> tuple[str, ...]:
    """Return a few blocks spread over the request-specific part of the prompt.

    One block is not enough, because some cache events are lost.
    """
    own = blocks[max(0, split) :]
    step = max(1, len(own) // _MAX_PROBE_BLOCKS)
    return tuple(own[::step][:_MAX_PROBE_BLOCKS])


def select_candidates(
    views: tuple[EndpointView, ...],
    max_count: int,
    home: str,
    holds: Callable[[str], bool],
    rng: Random,
) -> tuple[EndpointView, ...]:
    """Return at most ``max_count`` (at least 2) of ``views`` to score.

    Parameters
    ----------
    views : tuple of EndpointView
        All usable endpoints.
    max_count : int
        Endpoints to return at most; half of them are reserved for the random sample.
    home : str
        Id of the prompt's home; empty if it has none.
    holds : callable
        Returns whether the endpoint with this id probably has cached the
        request-specific part of the prompt.
    rng : random.Random
        Draws the sample.
    """
    if len(views) <= max_count:
        return views
    holders: list[EndpointView] = []
    others: list[EndpointView] = []
    for view in views:
        preferred = view.endpoint_id == home or holds(view.endpoint_id)
        (holders if preferred else others).append(view)
    if len(holders) > max_count // 2:
        holders.sort(key=lambda view: view.endpoint_id != home)
        first = holders[:1]
        holders = first + rng.sample(holders[1:], max_count // 2 - 1)
    sample = rng.sample(others, min(len(others), max_count - len(holders)))
    return (*holders, *sample)
