"""Orders models onto a deployment's replicas, and determines which are warm."""

from collections.abc import Mapping

from ebonydeal._internal.controller.context import ControllerContext
from ebonydeal._internal.controller.lease import LeaseKeeper
from ebonydeal._internal.controller.loads import LoadPoller
from ebonydeal._internal.controller.order_manager import OrderManager
from ebonydeal._internal.controller.values import InstanceRow, InstanceState
from ebonydeal._internal.controller.weights import LoadRequest
from ebonydeal._internal.models.document import Deployment
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.outside.interfaces import (
    CloudInstance,
    EngineOrder,
    WeightCopy,
)

ROLE_SERVE = "serve"


def views_by_token(
    deployment: Deployment | None,
    rows: Mapping[str, InstanceRow],
    instances: Mapping[str, CloudInstance],
    endpoints: Mapping[str, EndpointView],
) -> dict[str, EndpointView]:
    """Return the endpoint on each instance, by token.

    An instance that is missing from the instance list is reached at the address
    from the cloud; one that is missing from the cloud's list, at the address in
    the instance list.
    """
    kind = EndpointKind.ENGINE if deployment is None else EndpointKind(deployment.kind)
    places = {} if deployment is None else {p.zone: p for p in deployment.zones}
    views = {
        token: endpoints[row.instance_id]
        for token, row in rows.items()
        if token not in instances and row.instance_id in endpoints
    }
    for token, instance in instances.items():
        listed = endpoints.get(instance.instance_id)
        if listed is not None:
            views[token] = listed
        elif instance.address:
            views[token] = EndpointView(
                endpoint_id=instance.instance_id,
                incarnation=0,
                kind=kind,
                address=instance.address,
                place=places.get(instance.zone, Place("", instance.zone)),
                deployment="" if deployment is None else deployment.name,
                models=(),
                state=EndpointState.STARTING,
                reclaimable=instance.reclaimable,
                evict_per_hour=0.0,
                price_per_hour=0.0,
            )
    return views


class ReplicaManager:
    """Orders models onto engines within the weight store's rate.

    Parameters
    ----------
    name : str
        Name of the deployment.
    lease : LeaseKeeper
        Provides the fencing token.
    ctx : ControllerContext
        Shared dependencies.
    """

    def __init__(self, name: str, lease: LeaseKeeper, ctx: ControllerContext) -> None:
        self._name = name
        self._lease = lease
        self._ctx = ctx
        self._orders = OrderManager(
            lease, ctx.tables, ctx.engine, ctx.metrics, ctx.clock, ctx.order_config()
        )

    async def round(
        self,
        deployment: Deployment | None,
        rows: Mapping[str, InstanceRow],
        views: Mapping[str, EndpointView],
        loads: LoadPoller,
        shortfall: float,
        own_nodes: frozenset[str],
    ) -> set[str]:
        """Send orders as needed; return the tokens of warm replicas."""
        if deployment is None:
            return set()
        active = {
            token: view
            for token, view in views.items()
            if token in rows
            and rows[token].state in (InstanceState.WARMING, InstanceState.READY)
        }
        in_force = {view.endpoint_id for view in active.values()}
        if deployment.kind == EndpointKind.ENGINE:
            in_force = await self._order(deployment, rows, active, shortfall, own_nodes)
        return {
            token
            for token, view in active.items()
            if view.endpoint_id in in_force
            and view.state is EndpointState.READY
            and set(_models(deployment)) <= set(view.models)
            and loads.report(view.endpoint_id) is not None
        }

    async def _order(
        self,
        deployment: Deployment,
        rows: Mapping[str, InstanceRow],
        views: Mapping[str, EndpointView],
        shortfall: float,
        own_nodes: frozenset[str],
    ) -> set[str]:
        """Order the models; return the ids of engines whose order is in force."""
        epoch = self._lease.epoch
        assert epoch is not None
        models = _models(deployment)
        engines = {view.endpoint_id: view for view in views.values()}
        order = EngineOrder(epoch, models, ROLE_SERVE)
        self._update_load_requests(deployment, rows, views, shortfall)
        return await self._orders.round(
            engines,
            {name: order for name in engines},
            self._ctx.load_scheduler.admitted(self._name),
            deployment.checks_fence,
            self._predecessor_gone(own_nodes),
        )

    def _update_load_requests(
        self,
        deployment: Deployment,
        rows: Mapping[str, InstanceRow],
        views: Mapping[str, EndpointView],
        shortfall: float,
    ) -> None:
        """Update which engines wait for weights and which have them."""
        models = _models(deployment)
        waiting = [
            LoadRequest(
                endpoint_id=view.endpoint_id,
                deployment=self._name,
                model=models[0],
                zone=view.place.zone,
                shortfall=shortfall,
                requested_at=rows[token].at,
            )
            for token, view in views.items()
            if models
            and not set(models) <= set(view.models)
            # An engine that is not reachable yet would reserve a part of the
            # store's rate without using it.
            and self._orders.last_read(view.endpoint_id) is not None
        ]
        ready = [
            WeightCopy(view.endpoint_id, model, 0.0, view.place.zone)
            for view in views.values()
            for model in view.models
        ]
        self._ctx.load_scheduler.update_requests(self._name, waiting, ready)

    def _predecessor_gone(self, own_nodes: frozenset[str]) -> bool:
        """Return whether the previous holder's process is known to be gone.

        An empty list of nodes proves nothing. A previous holder on this node is
        an earlier run of this process.
        """
        if not self._lease.previous_holder:
            return True
        node = self._lease.previous_holder.partition("/")[0]
        if node == self._ctx.holder.id.partition("/")[0]:
            return True
        return bool(own_nodes) and node not in own_nodes


def _models(deployment: Deployment) -> tuple[str, ...]:
    """Return the models and adapters that an engine must have."""
    return deployment.models + deployment.adapters
