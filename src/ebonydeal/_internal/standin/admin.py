"""HTTP API to control the simulated platform: logs, reclaims, faults."""

from typing import Any

from aiohttp import web
from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.standin.faults import Fault, Faults
from ebonydeal._internal.standin.listing import endpoint_to_message
from ebonydeal._internal.standin.platform import StandinPlatform
from ebonydeal._internal.standin.server import StandinServer, standin_app
from ebonydeal._internal.utils.web import read_json


def apply_faults(faults: Faults, message: dict[str, Any]) -> None:
    """Change a store's faults; raises KeyError, TypeError or ValueError."""
    faults.down = bool(message.get("down", faults.down))
    faults.delay = float(message.get("delay", faults.delay))
    faults.writes.extend(Fault(name) for name in message.get("writes", ()))


class PlatformAdmin(Service):
    """Serves the platform's log and endpoints, and calls that inject faults.

    Parameters
    ----------
    platform : StandinPlatform
        The platform to control.
    port : int
        0 picks a free port.
    """

    def __init__(self, platform: StandinPlatform, port: int = 0) -> None:
        super().__init__()
        self._platform = platform
        app = standin_app()
        app.router.add_get("/log", self._serve_log)
        app.router.add_get("/endpoints", self._serve_endpoints)
        app.router.add_post("/reclaim", self._serve_reclaim)
        app.router.add_post("/unlist", self._serve_unlist)
        app.router.add_post("/kill", self._serve_kill)
        app.router.add_post("/faults", self._serve_faults)
        self.server = StandinServer(app, port=port)
        self.add_dependency(self.server)

    @property
    def url(self) -> str:
        """Base URL; available after the start."""
        return f"http://{self.server.address}"

    async def _serve_log(self, _req: web.Request) -> web.Response:
        return web.json_response({"logs": self._platform.logs()})

    async def _serve_endpoints(self, _req: web.Request) -> web.Response:
        views = [endpoint_to_message(view) for view in self._platform.views()]
        return web.json_response({"endpoints": views})

    async def _serve_reclaim(self, req: web.Request) -> web.Response:
        """``{"zone", "notice_seconds"}`` or ``{"endpoint_id", "notice_seconds"}``."""
        body = await read_json(req)
        seconds = float(body.get("notice_seconds", 10.0))
        if "endpoint_id" in body:
            self._check_exists(body["endpoint_id"])
            self._platform.reclaim_endpoint(body["endpoint_id"], seconds)
        else:
            zone = str(body.get("zone"))
            if zone not in {place.zone for place in self._platform.spec.places}:
                raise EbonydealError(ErrorKind.NOT_FOUND, f"no zone '{zone}'")
            self._platform.reclaim_zone(zone, seconds)
        return web.json_response({})

    async def _serve_unlist(self, req: web.Request) -> web.Response:
        """``{"endpoint_id", "serve_seconds"}``."""
        body = await read_json(req)
        self._check_exists(body.get("endpoint_id"))
        seconds = float(body.get("serve_seconds", 10.0))
        self._platform.unlist_endpoint(body["endpoint_id"], seconds)
        return web.json_response({})

    async def _serve_kill(self, req: web.Request) -> web.Response:
        """``{"endpoint_id"}``."""
        endpoint_id = (await read_json(req)).get("endpoint_id")
        self._check_exists(endpoint_id)
        await self._platform.kill_endpoint(str(endpoint_id))
        return web.json_response({})

    def _check_exists(self, endpoint_id: Any) -> None:
        ids = {endpoint.endpoint_id for endpoint in self._platform.endpoints()}
        if endpoint_id not in ids:
            raise EbonydealError(ErrorKind.NOT_FOUND, f"no endpoint '{endpoint_id}'")

    def _target(self, name: Any) -> Any:
        """Return a simulated system by the name that its faults are set by."""
        platform = self._platform
        match name:
            case "tables":
                return platform.tables
            case "objects":
                return platform.objects
            case "cloud":
                return platform.cloud
            case "instances":
                return platform.listing
            case "weights":
                return platform.weights
        raise EbonydealError(ErrorKind.BAD_REQUEST, f"unknown target {name!r}")

    async def _serve_faults(self, req: web.Request) -> web.Response:
        """``{"target": "tables" | "objects" | "cloud" | ..., "down": bool, ...}``.

        With ``"silent": true`` the target's open connections fall silent.
        """
        body = await read_json(req)
        platform = self._platform
        target = self._target(body.get("target"))
        try:
            if body.get("silent"):
                target.server.silence_open_connections()
            elif target is platform.tables:
                apply_faults(platform.tables.tables.faults, body)
            elif target is platform.objects:
                apply_faults(platform.objects.objects.faults, body)
            else:
                target.down = bool(body["down"])
        except (KeyError, TypeError, ValueError) as exc:
            raise EbonydealError(
                ErrorKind.BAD_REQUEST, f"invalid faults: {exc!r}"
            ) from exc
        return web.json_response({})
