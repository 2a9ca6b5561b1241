"""Which endpoints are scored when there are many.

Those that seem to hold the prompt's own part, its home, and a random sample of
the rest: the time of a decision stays bounded, and a sample is enough to find
a lightly loaded endpoint.
"""

from collections.abc import Callable, Sequence
from random import Random

from ebonydeal._internal.models.endpoints import EndpointView

_PROBES = 4


def probes(blocks: Sequence[str], split: int) -> tuple[str, ...]:
    """Return a few blocks spread over the prompt's own part.

    Several, because the events of some are lost.
    """
    own = blocks[max(0, split) :]
    step = max(1, len(own) // _PROBES)
    return tuple(own[::step][:_PROBES])


def narrow(
    views: tuple[EndpointView, ...],
    most: int,
    home: str,
    holds: Callable[[str], bool],
    rng: Random,
) -> tuple[EndpointView, ...]:
    """Return at most ``most`` (at least 2) of ``views`` to score.

    Parameters
    ----------
    views : tuple of EndpointView
        All that may be used.
    most : int
        How many to return; half are kept for the random sample.
    home : str
        Id of the prompt's home; empty for none.
    holds : callable
        Whether an endpoint id seems to hold the prompt's own part.
    rng : random.Random
        For the sample.
    """
    if len(views) <= most:
        return views
    holders: list[EndpointView] = []
    others: list[EndpointView] = []
    for view in views:
        wanted = view.endpoint_id == home or holds(view.endpoint_id)
        (holders if wanted else others).append(view)
    if len(holders) > most // 2:
        holders.sort(key=lambda view: view.endpoint_id != home)
        first = holders[:1]
        holders = first + rng.sample(holders[1:], most // 2 - 1)
    sample = rng.sample(others, min(len(others), most - len(holders)))
    return (*holders, *sample)
