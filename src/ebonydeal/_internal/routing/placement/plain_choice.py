"""Choice of a plain endpoint by the expected time of a request.

Event: one request, with the estimates of all endpoints that may serve it. Called for
each send of a plain service where `learn_capacity` is on.
"""

from collections.abc import Mapping, Sequence
from math import ceil
from random import Random
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.routing.capacity.plain_capacity import PlainCapacity

# Another zone costs a round trip and traffic between zones.
OTHER_ZONE_S = 0.003
# An endpoint that fails all of its answers costs as much as waiting this long,
# about the objective of a stream.
FAILURE_COST_S = 1.0
# Expected times within this factor of the least count as equal: estimates of equal
# endpoints differ by as much.
_EQUAL_FACTOR = 1.15

# Endpoints that are compared for a request, at least. Two suffice to avoid the loaded
# ones, and keep relays with the same view from filling one endpoint.
_MIN_DRAWN = 2


class CapacityView(NamedTuple):
    """What the choice is based on; ``now`` is monotonic seconds."""

    capacity: PlainCapacity
    now: float
    rng: Random


class _Scored(NamedTuple):
    """An endpoint, its expected time with costs, and its use with the request."""

    cost_s: float
    use: float
    requests_per_s: float
    member: Member


def choose_plain(
    zone: str,
    members: Sequence[Member],
    failing: Mapping[str, float],
    view: CapacityView,
) -> Member | None:
    """Return the endpoint that is expected to answer first.

    Relays that know the same would all select the same endpoint until the next report.
    So each selects among a few endpoints only, drawn at random in proportion to their
    capacity: the fewer, the more relays there are. A relay that is alone knows of all
    requests, and selects among all.

    Returns None where nothing is known of the service's endpoints.
    """
    scored = []
    for member in members:
        expected = view.capacity.estimate_or_typical(member, view.now)
        if expected is None:
            return None
        cost_s = expected.cautious_s
        cost_s += failing.get(member.endpoint_id, 0.0) * FAILURE_COST_S
        cost_s += 0.0 if member.zone == zone else OTHER_ZONE_S
        scored.append(
            _Scored(
                cost_s,
                (expected.running + 1.0) / expected.proven,
                expected.proven / expected.service_s,
                member,
            )
        )
    if not scored:
        return None
    count = max(_MIN_DRAWN, ceil(len(scored) / view.capacity.relays))
    drawn = _draw(scored, count, view.rng)
    limit = min(item.cost_s for item in drawn) * _EQUAL_FACTOR
    equal = [item for item in drawn if item.cost_s <= limit]
    return min(equal, key=lambda item: item.use).member


def _draw(scored: list[_Scored], count: int, rng: Random) -> list[_Scored]:
    """Return so many endpoints in random order, by capacity."""
    # The order of exponential random numbers with these rates is that of draws without
    # replacement.
    keys = [(rng.expovariate(item.requests_per_s), n) for n, item in enumerate(scored)]
    return [scored[n] for _key, n in sorted(keys)[:count]]
