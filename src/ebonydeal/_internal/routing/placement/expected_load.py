"""Expected load of an endpoint, from delayed reports and this gateway's own sends.

An old report says little about a single endpoint, so its weight shifts to the mean of
all endpoints as it ages. When a report makes an endpoint look idle, all gateways read
the same report. So this gateway compares its own sends there since the report with its
sends to other endpoints, and takes the difference as a sample of what all gateways
sent.
"""

from collections.abc import Iterable
from math import exp, sqrt
from typing import NamedTuple

from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.routing.placement.endpoint_attempts import (
    EndpointAttempts,
    LearnedRates,
)

_MIN_SAMPLE_WEIGHT = 0.02
_MAX_GATEWAYS = 100.0


class DeploymentLoad(NamedTuple):
    """Load of a deployment's endpoints, per endpoint.

    Attributes
    ----------
    load : float
        Mean of reported requests.
    sent_since : float
        Mean of this gateway's unfinished sends since the endpoint's report.
    gateways : float
        Estimate of how many gateways with this one's load the endpoints serve.
    """

    load: float
    sent_since: float
    gateways: float


def summarize_load(
    pairs: Iterable[tuple[EndpointView, EndpointAttempts]], rates: LearnedRates
) -> DeploymentLoad:
    """Summarize the load of all endpoints, and learn the number of gateways."""
    count = total = own = since = 0
    for view, sent in pairs:
        if view.load is None:
            continue
        count += 1
        total += view.load.running + view.load.waiting
        own += len(sent.attempts)
        since += sent.sent_since(view.load.at)
    if not count:
        return DeploymentLoad(0.0, 0.0, rates.gateways)
    sample = min(_MAX_GATEWAYS, max(1.0, total / max(1, own)))
    # The first samples get high weights, so that a gateway that has just started
    # doesn't send to the same idle endpoint as all others.
    rates.samples += 1
    rates.gateways += max(_MIN_SAMPLE_WEIGHT, 1.0 / rates.samples) * (
        sample - rates.gateways
    )
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
    weight = 0.5 ** ((now - at) / half_life)
    base = deployment_load.load + weight * (reported - deployment_load.load)
    # The few sends of one gateway are a noisy sample: its weight is the square root
    # of the number of gateways, not the number itself.
    excess = sqrt(deployment_load.gateways) * (
        sent.sent_since(at) - deployment_load.sent_since
    )
    return max(own, base + excess)


def load_stddev(
    view: EndpointView,
    load: float,
    deployment_load: DeploymentLoad,
    service_s: float,
    now: float,
) -> float:
    """Return the standard deviation of an expected load, requests.

    This gateway's own requests are known. What other gateways sent, or saw end, since
    the report is not known. With random arrivals and ends, its variance grows as the
    report gets older than ``service_s``, a request's run time in seconds. The ends grow
    with the endpoint's load, the arrivals with the mean load of all endpoints.
    """
    if view.load is None or service_s <= 0.0:
        return 0.0
    age = max(0.0, now - view.load.at)
    renewed = 1.0 - exp(-2.0 * age / service_s)
    others = 1.0 - 1.0 / max(1.0, deployment_load.gateways)
    return sqrt((load + deployment_load.load) * others * renewed)
