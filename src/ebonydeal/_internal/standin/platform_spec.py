"""Specification of a simulated platform."""

from typing import Any, NamedTuple

from ebonydeal._internal.models.places import Place
from ebonydeal._internal.outside.interfaces import Offer
from ebonydeal._internal.standin.attempts import EngineSpec
from ebonydeal._internal.standin.service import ServiceSpec

MACHINE_CLASS = "standard"
_RECLAIMABLE_PRICE = 1.0
_ON_DEMAND_PRICE = 3.0
_EVICT_PER_HOUR = 0.5


class DeploymentSpec(NamedTuple):
    """Initial endpoints of one deployment.

    Attributes
    ----------
    name : str
        Name of the deployment.
    kind : str
        ``"engine"`` or ``"service"``.
    models : tuple of str
        Models that are loaded from the start.
    replicas : int
        Number of endpoints, distributed over the zones in turn.
    checks_fence : bool
        Whether its engines refuse orders with an outdated fencing token.
    """

    name: str
    kind: str
    models: tuple[str, ...]
    replicas: int
    checks_fence: bool = True


class PlatformSpec(NamedTuple):
    """Specification of a whole simulated platform.

    Attributes
    ----------
    places : tuple of Place
        Regions and availability zones.
    deployments : tuple of DeploymentSpec
        Endpoints that run at the start.
    offers : tuple of Offer
        Instances that can be started.
    engine, service : EngineSpec, ServiceSpec
        Capabilities of the endpoints, before ``speed`` is applied.
    list_lag : float
        Seconds by which the instance list lags behind.
    start_seconds : float
        Seconds until a started instance is listed.
    speed : float
        Factor on the speed of endpoints; does not affect the clock.
    seed : int
        Seed of all random numbers.
    writes_per_s, reads_per_s : float
        Rate limits of the table service; 0 for none.
    """

    places: tuple[Place, ...]
    deployments: tuple[DeploymentSpec, ...]
    offers: tuple[Offer, ...]
    engine: EngineSpec = EngineSpec()
    service: ServiceSpec = ServiceSpec()
    list_lag: float = 1.0
    start_seconds: float = 0.5
    speed: float = 1.0
    seed: int = 1
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0

    @classmethod
    def from_document(
        cls, document: dict[str, Any], replicas: dict[str, int], **options: Any
    ) -> "PlatformSpec":
        """Build the specification from a configuration document.

        Parameters
        ----------
        document : dict
            The document's JSON object.
        replicas : dict of str to int
            Number of initial endpoints by deployment; 0 if missing.
        """
        places = tuple(
            Place(region["name"], zone)
            for region in document["regions"]
            for zone in region["zones"]
        )
        deployments = tuple(
            _deployment(item, replicas) for item in document["deployments"]
        )
        return cls(places, deployments, default_offers(places), **options)


def _deployment(item: dict[str, Any], replicas: dict[str, int]) -> DeploymentSpec:
    """Return the specification of one deployment of a document."""
    adapters = [adapter["name"] for adapter in item.get("adapters", ())]
    return DeploymentSpec(
        name=item["name"],
        kind=item["kind"],
        models=(*item.get("models", ()), *adapters),
        replicas=replicas.get(item["name"], 0),
        checks_fence=item.get("engines_check_fence", True),
    )


def default_offers(places: tuple[Place, ...]) -> tuple[Offer, ...]:
    """Return reclaimable and on-demand offers; later zones are slightly dearer."""
    offers = []
    for number, place in enumerate(places):
        price_factor = 1.0 + 0.1 * number
        reclaimable_price = _RECLAIMABLE_PRICE * price_factor
        offers.append(
            Offer(
                place.zone, MACHINE_CLASS, True, reclaimable_price, _EVICT_PER_HOUR, 8
            )
        )
        on_demand_price = _ON_DEMAND_PRICE * price_factor
        offers.append(Offer(place.zone, MACHINE_CLASS, False, on_demand_price, 0.0, 8))
    return tuple(offers)
