"""The load to expect at an endpoint, from lagged reports and own sends.

An old report says little of one endpoint, so it is drawn towards the mean of
all as it ages. And when a report makes an endpoint look idle, every gateway
reads the same: what this one sent there since, compared with its sends to the
others, is taken as a sample of what all sent.
"""

from collections.abc import Iterable
from math import exp, sqrt
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.routing.placement.endpoint_attempts import (
    EndpointAttempts,
    LearnedRates,
)

_LEARN = 0.02
_MOST_GATEWAYS = 100.0


class DeploymentLoad(NamedTuple):
    """A deployment's endpoints together.

    Attributes
    ----------
    load : float
        Mean reported requests of one endpoint.
    sent_since : float
        Mean own sends to one endpoint since its report, not yet ended.
    gateways : float
        How many gateways like this one the endpoints seem to serve.
    """

    load: float
    sent_since: float
    gateways: float


def summarize_load(
    pairs: Iterable[tuple[EndpointView, EndpointAttempts]], rates: LearnedRates
) -> DeploymentLoad:
    """Put together what is known of all, and learn the number of gateways."""
    count = total = own = since = 0
    for view, sent in pairs:
        if view.load is None:
            continue
        count += 1
        total += view.load.running + view.load.waiting
        own += len(sent.attempts)
        since += sent.since(view.load.at)
    if not count:
        return DeploymentLoad(0.0, 0.0, rates.gateways)
    seen = min(_MOST_GATEWAYS, max(1.0, total / max(1, own)))
    # The first choices learn fast: a cold gateway must not join a herd.
    rates.looks += 1
    rates.gateways += max(_LEARN, 1.0 / rates.looks) * (seen - rates.gateways)
    return DeploymentLoad(total / count, since / count, rates.gateways)


def expected_load(
    view: EndpointView,
    sent: EndpointAttempts,
    deployment_load: DeploymentLoad,
    half_life: float,
    now: float,
) -> float:
    """Return the requests expected at an endpoint.

    ``half_life`` is the age, in seconds, at which a report counts half.
    """
    own = float(len(sent.attempts))
    if view.load is None:
        return own
    at = min(view.load.at, now)
    reported = view.load.running + view.load.waiting
    worth = 0.5 ** ((now - at) / half_life)
    base = deployment_load.load + worth * (reported - deployment_load.load)
    # A sample of one gateway's few sends is noisy: its weight is the square
    # root of the number of gateways, not the number itself.
    ahead = sqrt(deployment_load.gateways) * (
        sent.since(at) - deployment_load.sent_since
    )
    return max(own, base + ahead)


def load_stddev(
    view: EndpointView,
    load: float,
    deployment_load: DeploymentLoad,
    service_s: float,
    now: float,
) -> float:
    """Return the standard deviation of an expected load, requests.

    What other gateways sent and saw end since the report isn't known. With
    random arrivals and ends, its variance grows as the report gets older than
    ``service_s``, the run time in seconds: ends with what is there, arrivals
    with what any endpoint gets, the mean of all. Own requests are known.
    """
    if view.load is None or service_s <= 0.0:
        return 0.0
    age = max(0.0, now - view.load.at)
    renewed = 1.0 - exp(-2.0 * age / service_s)
    others = 1.0 - 1.0 / max(1.0, deployment_load.gateways)
    return sqrt((load + deployment_load.load) * others * renewed)
