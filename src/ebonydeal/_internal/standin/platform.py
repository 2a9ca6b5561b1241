"""The whole simulated platform as one supervisor tree."""

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
_INITIAL_TOKEN_PREFIX = "initial-"


class StandinPlatform(Service):
    """All simulated outside systems, engines and plain services.

    Parameters
    ----------
    spec : PlatformSpec
        What the platform consists of.
    clock : Clock, optional
        Clock of all delays.
    ports : dict of str to int, optional
        Ports of ``tables``, ``objects``, ``cloud``, ``instances`` and
        ``weights``; missing ones get a free port.
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
        self._deployments = {
            deployment.name: deployment for deployment in spec.deployments
        }
        self._places = {place.zone: place for place in spec.places}
        self._live_endpoints: dict[str, StandinEndpoint] = {}
        self.all_endpoints: list[StandinEndpoint] = []
        self._build_servers(ports or {})

    def _build_servers(self, ports: dict[str, int]) -> None:
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
        models = sorted(
            {name for deployment in spec.deployments for name in deployment.models}
        )
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
        """Start the initial endpoints."""
        for deployment in self.spec.deployments:
            for number in range(deployment.replicas):
                place = self.spec.places[number % len(self.spec.places)]
                await self.add_endpoint(deployment.name, place.zone)

    def platform_settings(self, **changes: Any) -> PlatformSettings:
        """Return the ``[platform]`` settings with the URLs of this platform."""
        cfg = PlatformSettings(
            tables_url=self.tables.url,
            objects_url=self.objects.url,
            cloud_url=self.cloud.url,
            instances_url=self.listing.url,
            weights_url=self.weights.url,
        )
        return cfg._replace(**changes)

    def endpoints(self) -> list[StandinEndpoint]:
        """Return the live endpoints."""
        return list(self._live_endpoints.values())

    def endpoint(self, endpoint_id: str) -> StandinEndpoint:
        """Return a live endpoint; raises KeyError."""
        return self._live_endpoints[endpoint_id]

    def views(self) -> list[EndpointView]:
        """Return the current endpoints of the instance list, without its lag."""
        return self.listing.endpoints()

    def logs(self) -> list[dict[str, Any]]:
        """Return the logs of all endpoints that ever existed."""
        return [endpoint.attempt_log() for endpoint in self.all_endpoints]

    async def add_endpoint(
        self, deployment: str, zone: str, *, reclaimable: bool = True
    ) -> CloudInstance:
        """Start an endpoint without a call of the cloud API."""
        token = f"{_INITIAL_TOKEN_PREFIX}{len(self.cloud.instances) + 1}"
        tags = {TAG_DEPLOYMENT: deployment}
        return await self.cloud.start_instance(
            token, zone, MACHINE_CLASS, reclaimable, tags
        )

    async def _launch(self, instance: CloudInstance) -> str:
        """Start the endpoint of a new instance; return its address."""
        deployment = self._deployments.get(instance.tags.get(TAG_DEPLOYMENT, ""))
        if deployment is None:
            logger.warning("Instance has no known deployment.", tags=instance.tags)
            return ""
        endpoint = self._build_endpoint(deployment, instance)
        self.all_endpoints.append(endpoint)
        await self.add_runtime_dependency(endpoint)
        self._live_endpoints[instance.instance_id] = endpoint
        view = self._view(deployment, instance, endpoint)
        if _is_initial(instance):
            self.listing.set_endpoint(view)
        else:
            self.add_future(self._list_after_start(view))
        return endpoint.address

    def _build_endpoint(
        self, deployment: DeploymentSpec, instance: CloudInstance
    ) -> StandinEndpoint:
        if deployment.kind == EndpointKind.SERVICE:
            service = self.spec.service.at_speed(self.spec.speed)
            return StandinService(instance.instance_id, service, clock=self.clock)
        engine = self.spec.engine.at_speed(self.spec.speed)
        standin_engine = StandinEngine(
            instance.instance_id,
            deployment.models if _is_initial(instance) else (),
            engine._replace(checks_fence=deployment.checks_fence),
            random.Random(self._rng.getrandbits(64)),
            clock=self.clock,
        )
        standin_engine.orders.on_change = lambda: self._list_models(standin_engine)
        return standin_engine

    def _list_models(self, engine: StandinEngine) -> None:
        """Update the list with the models that an engine has loaded."""
        for view in self.views():
            if view.endpoint_id == engine.endpoint_id:
                self.listing.set_endpoint(view._replace(models=_loaded_models(engine)))

    def _view(
        self,
        deployment: DeploymentSpec,
        instance: CloudInstance,
        endpoint: StandinEndpoint,
    ) -> EndpointView:
        """Return the list entry of a new endpoint."""
        price, evict = 0.0, 0.0
        for offer in self.cloud.offers:
            if (offer.zone, offer.reclaimable) == (instance.zone, instance.reclaimable):
                price, evict = offer.price_per_hour, offer.evict_per_hour
        return EndpointView(
            endpoint_id=instance.instance_id,
            incarnation=1,
            kind=EndpointKind(deployment.kind),
            address=endpoint.address,
            place=self._places.get(instance.zone, Place("", instance.zone)),
            deployment=deployment.name,
            models=_loaded_models(endpoint),
            state=EndpointState.READY,
            reclaimable=instance.reclaimable,
            evict_per_hour=evict,
            price_per_hour=price,
        )

    async def _list_after_start(self, view: EndpointView) -> None:
        """List a new endpoint after its start time, if it is still alive."""
        await self.clock.sleep(self.spec.start_seconds)
        endpoint = self._live_endpoints.get(view.endpoint_id)
        if endpoint is not None:
            self.listing.set_endpoint(view._replace(models=_loaded_models(endpoint)))

    async def _terminate(self, instance_id: str) -> None:
        """Remove and kill the endpoint of a stopped instance."""
        endpoint = self._live_endpoints.pop(instance_id, None)
        self.listing.remove_endpoint(instance_id)
        if endpoint is None:
            return
        await endpoint.kill()
        await self.remove_dependency(endpoint)

    async def kill_endpoint(self, endpoint_id: str) -> None:
        """Stop an endpoint's instance without notice."""
        await self.cloud.stop_instance(endpoint_id)

    def reclaim_zone(self, zone: str, notice_seconds: float) -> None:
        """Reclaim a whole availability zone after a notice.

        Starts in the zone are refused from now on, until `restore_zone`.
        """
        self.cloud.no_capacity.add((zone, ""))
        self.cloud.announce_reclaim(zone, "", notice_seconds)
        leaving = [view for view in self.views() if view.place.zone == zone]
        for view in leaving:
            self._mark_leaving(view)
        self.add_future(self._terminate_zone(zone, notice_seconds))
        logger.info("Zone is being reclaimed.", zone=zone, endpoints=len(leaving))

    def reclaim_endpoint(self, endpoint_id: str, notice_seconds: float) -> None:
        """Reclaim one instance after a notice."""
        view = next(v for v in self.views() if v.endpoint_id == endpoint_id)
        self.cloud.announce_reclaim(view.place.zone, endpoint_id, notice_seconds)
        self._mark_leaving(view)
        self.add_future(self._terminate_endpoint(endpoint_id, notice_seconds))

    def unlist_endpoint(self, endpoint_id: str, serve_seconds: float) -> None:
        """Let an endpoint leave without notice; unlisted, it serves on for a while."""
        self.listing.remove_endpoint(endpoint_id)
        self.add_future(self._terminate_endpoint(endpoint_id, serve_seconds))

    def restore_zone(self, zone: str) -> None:
        """Allow instances to be started in a zone again."""
        self.cloud.no_capacity.discard((zone, ""))

    def _mark_leaving(self, view: EndpointView) -> None:
        self._live_endpoints[view.endpoint_id].start_leaving()
        self.listing.set_endpoint(view._replace(state=EndpointState.LEAVING))

    async def _terminate_zone(self, zone: str, seconds: float) -> None:
        await self.clock.sleep(seconds)
        for instance in self.cloud.running():
            if instance.zone == zone:
                await self.cloud.stop_instance(instance.instance_id)

    async def _terminate_endpoint(self, endpoint_id: str, seconds: float) -> None:
        await self.clock.sleep(seconds)
        await self.cloud.stop_instance(endpoint_id)


def _is_initial(instance: CloudInstance) -> bool:
    """Return whether an instance is an initial one, with its models loaded."""
    return instance.token.startswith(_INITIAL_TOKEN_PREFIX)


def _loaded_models(endpoint: StandinEndpoint) -> tuple[str, ...]:
    """Return the models that an endpoint has loaded."""
    if isinstance(endpoint, StandinEngine):
        return tuple(sorted(endpoint.orders.loaded))
    return ()
