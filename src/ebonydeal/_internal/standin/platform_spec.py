"""What a stand-in world consists of."""

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
    """Endpoints of one deployment at the start.

    Attributes
    ----------
    name : str
        Deployment.
    kind : str
        ``"engine"`` or ``"service"``.
    models : tuple of str
        Loaded from the start.
    replicas : int
        Spread over the zones in turn.
    checks_fence : bool
        Whether its engines refuse orders with an old fencing number.
    """

    name: str
    kind: str
    models: tuple[str, ...]
    replicas: int
    checks_fence: bool = True


class PlatformSpec(NamedTuple):
    """A whole stand-in world.

    Attributes
    ----------
    places : tuple of Place
        Regions and availability zones.
    fleets : tuple of FleetSpec
        What runs at the start.
    offers : tuple of Offer
        What can be started.
    engine, service : EngineSpec, ServiceSpec
        What each endpoint can do, before ``speed``.
    list_lag : float
        Seconds by which the instance list is behind.
    start_seconds : float
        Time until a started instance is listed.
    speed : float
        Factor on the pace of endpoints; the clock stays the machine's own.
    seed : int
        Of all that is random.
    writes_per_s, reads_per_s : float
        Limits of the table service; 0 for none.
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
        """Build a world that fits a configuration document.

        Parameters
        ----------
        document : dict
            The document's JSON object.
        replicas : dict of str to int
            Endpoints of each deployment at the start; 0 where none is given.
        """
        places = tuple(
            Place(region["name"], zone)
            for region in document["regions"]
            for zone in region["zones"]
        )
        deployments = tuple(_fleet(item, replicas) for item in document["deployments"])
        return cls(places, deployments, default_offers(places), **options)


def _fleet(item: dict[str, Any], replicas: dict[str, int]) -> DeploymentSpec:
    """Return the fleet of one deployment of a document."""
    adapters = [adapter["name"] for adapter in item.get("adapters", ())]
    return DeploymentSpec(
        name=item["name"],
        kind=item["kind"],
        models=(*item.get("models", ()), *adapters),
        replicas=replicas.get(item["name"], 0),
        checks_fence=item.get("engines_check_fence", True),
    )


def default_offers(places: tuple[Place, ...]) -> tuple[Offer, ...]:
    """Return reclaimable and on-demand offers; later zones cost a little more."""
    offers = []
    for number, place in enumerate(places):
        dearer = 1.0 + 0.1 * number
        cheap = _RECLAIMABLE_PRICE * dearer
        offers.append(Offer(place.zone, MACHINE_CLASS, True, cheap, _EVICT_PER_HOUR, 8))
        dear = _ON_DEMAND_PRICE * dearer
        offers.append(Offer(place.zone, MACHINE_CLASS, False, dear, 0.0, 8))
    return tuple(offers)
