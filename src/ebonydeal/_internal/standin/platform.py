"""The whole platform as one supervisor tree of stand-ins."""

import random
from typing import Any

from mode import Service

from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import CloudInstance, WeightCopy
from ebonydeal._internal.settings.sections import PlatformSettings
from ebonydeal._internal.standin.cloud import CloudServer
from ebonydeal._internal.standin.endpoint import StandinEndpoint
from ebonydeal._internal.standin.engine import StandinEngine
from ebonydeal._internal.standin.listing import InstanceListServer
from ebonydeal._internal.standin.platform_spec import (
    MACHINE_CLASS,
    DeploymentSpec,
    PlatformSpec,
)
from ebonydeal._internal.standin.service import StandinService
from ebonydeal._internal.standin.stores import ObjectsServer, TablesServer
from ebonydeal._internal.standin.weights import WeightStoreServer
from ebonydeal._internal.utils.clock import Clock, SystemClock

logger = get_logger("standin")

TAG_DEPLOYMENT = "deployment"
_MODEL_GB = 14.0
_INITIAL = "initial-"


class StandinPlatform(Service):
    """Tables, objects, list, cloud, weights, engines and services together.

    Parameters
    ----------
    spec : PlatformSpec
        What there is.
    clock : Clock, optional
        What all waiting goes by.
    ports : dict of str to int, optional
        Ports of ``tables``, ``objects``, ``cloud``, ``instances`` and
        ``weights``; a free one where none is given.
    """

    def __init__(
        self,
        spec: PlatformSpec,
        *,
        clock: Clock | None = None,
        ports: dict[str, int] | None = None,
    ) -> None:
        super().__init__()
        self.spec = spec
        self.clock = clock or SystemClock()
        self._rng = random.Random(spec.seed)
        self._fleets = {fleet.name: fleet for fleet in spec.deployments}
        self._places = {place.zone: place for place in spec.places}
        self._live: dict[str, StandinEndpoint] = {}
        self.all_endpoints: list[StandinEndpoint] = []
        self._make_servers(ports or {})

    def _make_servers(self, ports: dict[str, int]) -> None:
        spec = self.spec
        self.tables = TablesServer(
            port=ports.get("tables", 0),
            writes_per_s=spec.writes_per_s,
            reads_per_s=spec.reads_per_s,
        )
        self.objects = ObjectsServer(port=ports.get("objects", 0))
        self.listing = InstanceListServer(
            spec.list_lag, clock=self.clock, port=ports.get("instances", 0)
        )
        self.cloud = CloudServer(
            self._launch,
            self._terminate,
            spec.offers,
            clock=self.clock,
            port=ports.get("cloud", 0),
        )
        models = sorted({name for fleet in spec.deployments for name in fleet.models})
        copies = tuple(
            WeightCopy("store", model, _MODEL_GB, spec.places[0].zone)
            for model in models
        )
        self.weights = WeightStoreServer(copies, port=ports.get("weights", 0))
        self._servers = (
            self.tables,
            self.objects,
            self.listing,
            self.cloud,
            self.weights,
        )
        for server in self._servers:
            self.add_dependency(server)

    async def on_started(self) -> None:
        """Start the endpoints that are there from the start."""
        for fleet in self.spec.deployments:
            for number in range(fleet.replicas):
                place = self.spec.places[number % len(self.spec.places)]
                await self.add_endpoint(fleet.name, place.zone)

    def platform_settings(self, **changes: Any) -> PlatformSettings:
        """Return the ``[platform]`` section that points here."""
        cfg = PlatformSettings(
            tables_url=self.tables.url,
            objects_url=self.objects.url,
            cloud_url=self.cloud.url,
            instances_url=self.listing.url,
            weights_url=self.weights.url,
        )
        return cfg._replace(**changes)

    def endpoints(self) -> list[StandinEndpoint]:
        """Return the endpoints that live."""
        return list(self._live.values())

    def endpoint(self, endpoint_id: str) -> StandinEndpoint:
        """Return a living endpoint; raises KeyError."""
        return self._live[endpoint_id]

    def views(self) -> list[EndpointView]:
        """Return the endpoints as the list has them now, without its lag."""
        return self.listing.endpoints()

    def logs(self) -> list[dict[str, Any]]:
        """Return the log of each endpoint that ever lived."""
        return [endpoint.attempt_log() for endpoint in self.all_endpoints]

    async def add_endpoint(
        self, deployment: str, zone: str, *, reclaimable: bool = True
    ) -> CloudInstance:
        """Start an endpoint that nobody asked the cloud API for."""
        token = f"{_INITIAL}{len(self.cloud.instances) + 1}"
        tags = {TAG_DEPLOYMENT: deployment}
        return await self.cloud.start_instance(
            token, zone, MACHINE_CLASS, reclaimable, tags
        )

    async def _launch(self, instance: CloudInstance) -> str:
        """Make the endpoint of a new instance; return its address."""
        fleet = self._fleets.get(instance.tags.get(TAG_DEPLOYMENT, ""))
        if fleet is None:
            logger.warning("An instance for no deployment.", tags=instance.tags)
            return ""
        endpoint = self._make_endpoint(fleet, instance)
        self.all_endpoints.append(endpoint)
        await self.add_runtime_dependency(endpoint)
        self._live[instance.instance_id] = endpoint
        view = self._view(fleet, instance, endpoint)
        if _is_initial(instance):
            self.listing.set_endpoint(view)
        else:
            self.add_future(self._list_later(view))
        return endpoint.address

    def _make_endpoint(
        self, fleet: DeploymentSpec, instance: CloudInstance
    ) -> StandinEndpoint:
        if fleet.kind == EndpointKind.SERVICE:
            service = self.spec.service.at_speed(self.spec.speed)
            return StandinService(instance.instance_id, service, clock=self.clock)
        engine = self.spec.engine.at_speed(self.spec.speed)
        made = StandinEngine(
            instance.instance_id,
            fleet.models if _is_initial(instance) else (),
            engine._replace(checks_fence=fleet.checks_fence),
            random.Random(self._rng.getrandbits(64)),
            clock=self.clock,
        )
        made.orders.on_change = lambda: self._list_models(made)
        return made

    def _list_models(self, engine: StandinEngine) -> None:
        """List what an engine has loaded by now."""
        for view in self.views():
            if view.endpoint_id == engine.endpoint_id:
                self.listing.set_endpoint(view._replace(models=_loaded(engine)))

    def _view(
        self, fleet: DeploymentSpec, instance: CloudInstance, endpoint: StandinEndpoint
    ) -> EndpointView:
        """Return what the list will say of a new endpoint."""
        price, evict = 0.0, 0.0
        for offer in self.cloud.offers:
            if (offer.zone, offer.reclaimable) == (instance.zone, instance.reclaimable):
                price, evict = offer.price_per_hour, offer.evict_per_hour
        return EndpointView(
            endpoint_id=instance.instance_id,
            incarnation=1,
            kind=EndpointKind(fleet.kind),
            address=endpoint.address,
            place=self._places.get(instance.zone, Place("", instance.zone)),
            deployment=fleet.name,
            models=_loaded(endpoint),
            state=EndpointState.READY,
            reclaimable=instance.reclaimable,
            evict_per_hour=evict,
            price_per_hour=price,
        )

    async def _list_later(self, view: EndpointView) -> None:
        """List a started endpoint once it is up."""
        await self.clock.sleep(self.spec.start_seconds)
        endpoint = self._live.get(view.endpoint_id)
        if endpoint is not None:
            self.listing.set_endpoint(view._replace(models=_loaded(endpoint)))

    async def _terminate(self, instance_id: str) -> None:
        """Kill the endpoint of a stopped instance."""
        endpoint = self._live.pop(instance_id, None)
        self.listing.remove_endpoint(instance_id)
        if endpoint is None:
            return
        await endpoint.kill()
        await self.remove_dependency(endpoint)

    async def kill_endpoint(self, endpoint_id: str) -> None:
        """Let an endpoint die without a word."""
        await self.cloud.stop_instance(endpoint_id)

    def reclaim_zone(self, zone: str, notice_seconds: float) -> None:
        """Take back a whole availability zone, after a notice.

        Starts in it are refused from now on; see `restore_zone`.
        """
        self.cloud.no_capacity.add((zone, ""))
        self.cloud.announce_reclaim(zone, "", notice_seconds)
        leaving = [view for view in self.views() if view.place.zone == zone]
        for view in leaving:
            self._mark_leaving(view)
        self.add_future(self._take_zone(zone, notice_seconds))
        logger.info("A zone is reclaimed.", zone=zone, endpoints=len(leaving))

    def reclaim_endpoint(self, endpoint_id: str, notice_seconds: float) -> None:
        """Take back one instance, after a notice."""
        view = next(v for v in self.views() if v.endpoint_id == endpoint_id)
        self.cloud.announce_reclaim(view.place.zone, endpoint_id, notice_seconds)
        self._mark_leaving(view)
        self.add_future(self._take_endpoint(endpoint_id, notice_seconds))

    def restore_zone(self, zone: str) -> None:
        """Let instances be started in a zone again."""
        self.cloud.no_capacity.discard((zone, ""))

    def _mark_leaving(self, view: EndpointView) -> None:
        self._live[view.endpoint_id].start_leaving()
        self.listing.set_endpoint(view._replace(state=EndpointState.LEAVING))

    async def _take_zone(self, zone: str, seconds: float) -> None:
        await self.clock.sleep(seconds)
        for instance in self.cloud.running():
            if instance.zone == zone:
                await self.cloud.stop_instance(instance.instance_id)

    async def _take_endpoint(self, endpoint_id: str, seconds: float) -> None:
        await self.clock.sleep(seconds)
        await self.cloud.stop_instance(endpoint_id)


def _is_initial(instance: CloudInstance) -> bool:
    """Return whether an instance is there from the start, with all loaded."""
    return instance.token.startswith(_INITIAL)


def _loaded(endpoint: StandinEndpoint) -> tuple[str, ...]:
    """Return the models that an endpoint has loaded."""
    if isinstance(endpoint, StandinEngine):
        return tuple(sorted(endpoint.orders.loaded))
    return ()
