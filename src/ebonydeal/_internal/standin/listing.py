"""Simulated instance list of the platform, which lags behind."""

from typing import Any

from aiohttp import web
from mode import Service

from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.outside.instances import EndpointMessage
from ebonydeal._internal.standin.server import StandinServer, standin_app
from ebonydeal._internal.utils.clock import Clock, SystemClock

_MAX_SNAPSHOTS = 1000


def endpoint_to_message(view: EndpointView) -> EndpointMessage:
    """Return the JSON object of a listed endpoint."""
    return EndpointMessage(
        endpoint_id=view.endpoint_id,
        incarnation=view.incarnation,
        kind=str(view.kind),
        address=view.address,
        region=view.place.region,
        zone=view.place.zone,
        deployment=view.deployment,
        models=list(view.models),
        state=str(view.state),
        reclaimable=view.reclaimable,
        evict_per_hour=view.evict_per_hour,
        price_per_hour=view.price_per_hour,
    )


class InstanceListServer(Service):
    """Serves the endpoints as they were ``lag`` seconds ago.

    Parameters
    ----------
    lag : float
        Seconds by which the list lags behind.
    clock : Clock, optional
        Clock by which the lag is measured.
    port : int
        0 picks a free port.
    """

    def __init__(
        self, lag: float = 0.0, *, clock: Clock | None = None, port: int = 0
    ) -> None:
        super().__init__()
        self.lag = lag
        self.down = False
        self._clock = clock or SystemClock()
        self._endpoints: dict[str, EndpointView] = {}
        self._nodes: dict[str, str] = {}
        self._snapshots: list[tuple[float, dict[str, Any]]] = []
        self._record()
        app = standin_app()
        app.router.add_get("/v1/instances", self._serve_list)
        self.server = StandinServer(app, port=port)
        self.add_dependency(self.server)

    @property
    def url(self) -> str:
        """Base URL; available after the start."""
        return f"http://{self.server.address}"

    def endpoints(self) -> list[EndpointView]:
        """Return the current endpoints, without the lag."""
        return list(self._endpoints.values())

    def set_endpoint(self, view: EndpointView) -> None:
        """Add or replace an endpoint."""
        self._endpoints[view.endpoint_id] = view
        self._record()

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Remove an endpoint."""
        self._endpoints.pop(endpoint_id, None)
        self._record()

    def set_node(self, node_id: str, address: str) -> None:
        """Add or replace one of the system's own instances."""
        self._nodes[node_id] = address
        self._record()

    def remove_node(self, node_id: str) -> None:
        """Remove one of the system's own instances."""
        self._nodes.pop(node_id, None)
        self._record()

    def _record(self) -> None:
        body = {
            "endpoints": [endpoint_to_message(v) for v in self._endpoints.values()],
            "nodes": [{"id": k, "address": v} for k, v in self._nodes.items()],
        }
        self._snapshots.append((self._clock.now(), body))
        del self._snapshots[:-_MAX_SNAPSHOTS]

    def lagged_list(self) -> dict[str, Any]:
        """Return the answer body, as old as the lag demands."""
        cutoff = self._clock.now() - self.lag
        due = [body for at, body in self._snapshots if at <= cutoff]
        return due[-1] if due else self._snapshots[0][1]

    async def _serve_list(self, _req: web.Request) -> web.Response:
        if self.down:
            return web.json_response({}, status=503)
        return web.json_response(self.lagged_list())
