"""Simulated cloud API: offers, starts, stops and reclaim notices."""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from mode import Service

from ebonydeal._internal.outside.interfaces import CloudInstance, Offer, ReclaimNotice
from ebonydeal._internal.standin.server import (
    StandinServer,
    abort_connection,
    standin_app,
)
from ebonydeal._internal.utils.clock import Clock, SystemClock
from ebonydeal._internal.utils.web import read_json

STARTING = "starting"
RUNNING = "running"
STOPPED = "stopped"
LaunchCallback = Callable[[CloudInstance], Awaitable[str]]
TerminateCallback = Callable[[str], Awaitable[None]]


class CloudServer(Service):
    """Serves the cloud API; starts and stops endpoints through two callbacks.

    Parameters
    ----------
    launch : coroutine function
        Called with a new instance; returns its ``host:port``.
    terminate : coroutine function
        Called with the id of an instance that is stopped.
    offers : sequence of Offer
        Instances that can be started.
    clock : Clock, optional
        For start times and deadlines.
    port : int
        0 picks a free port.

    Attributes
    ----------
    no_capacity : set of (str, str)
        (zone, machine class) pairs in which starts are refused; an empty class
        means all classes of the zone.
    down : bool
        Whether every call is refused with 503, before any effect.
    lost_start_answers : int
        Number of next starts that take effect but whose answers are lost.
    """

    def __init__(
        self,
        launch: LaunchCallback,
        terminate: TerminateCallback,
        offers: tuple[Offer, ...] = (),
        *,
        clock: Clock | None = None,
        port: int = 0,
    ) -> None:
        super().__init__()
        self.offers = list(offers)
        self.no_capacity: set[tuple[str, str]] = set()
        self.down = False
        self.lost_start_answers = 0
        self.instances: dict[str, CloudInstance] = {}
        self.notices: list[ReclaimNotice] = []
        self._tokens: dict[str, str] = {}
        self._launch = launch
        self._terminate = terminate
        self._clock = clock or SystemClock()
        app = standin_app()
        app.router.add_get("/v1/offers", self._serve_offers)
        app.router.add_post("/v1/instances", self._serve_start)
        app.router.add_delete("/v1/instances/{id}", self._serve_stop)
        app.router.add_get("/v1/instances", self._serve_instances)
        app.router.add_get("/v1/notices", self._serve_notices)
        self.server = StandinServer(app, port=port)
        self.add_dependency(self.server)

    @property
    def url(self) -> str:
        """Base URL; available after the start."""
        return f"http://{self.server.address}"

    def refusal_reason(self, zone: str, machine_class: str, reclaimable: bool) -> str:
        """Return why such an instance can't be started, or an empty string."""
        if (zone, machine_class) in self.no_capacity or (zone, "") in self.no_capacity:
            return "no capacity"
        for offer in self.offers:
            requested = (zone, machine_class, reclaimable)
            if requested == (offer.zone, offer.machine_class, offer.reclaimable):
                return ""
        return "no such offer"

    async def start_instance(
        self,
        token: str,
        zone: str,
        machine_class: str,
        reclaimable: bool,
        tags: dict[str, str],
    ) -> CloudInstance:
        """Start an instance, or return the one already started with ``token``."""
        if token in self._tokens:
            return self.instances[self._tokens[token]]
        instance = CloudInstance(
            instance_id=f"i-{len(self.instances) + 1:05d}",
            token=token,
            zone=zone,
            machine_class=machine_class,
            reclaimable=reclaimable,
            state=STARTING,
            address="",
            started_at=self._clock.wall(),
            tags=tags,
        )
        self.instances[instance.instance_id] = instance
        self._tokens[token] = instance.instance_id
        address = await self._launch(instance)
        started = instance._replace(address=address, state=RUNNING)
        if self.instances[instance.instance_id].state == STARTING:
            self.instances[instance.instance_id] = started
        return self.instances[instance.instance_id]

    async def stop_instance(self, instance_id: str) -> None:
        """Stop an instance; does nothing if it is stopped or unknown."""
        instance = self.instances.get(instance_id)
        if instance is None or instance.state == STOPPED:
            return
        self.instances[instance_id] = instance._replace(state=STOPPED)
        await self._terminate(instance_id)

    def announce_reclaim(
        self, zone: str, instance_id: str, seconds: float
    ) -> ReclaimNotice:
        """Announce the reclaim of an instance, or of a zone if the id is empty."""
        deadline = self._clock.wall() + seconds
        notice = ReclaimNotice(len(self.notices) + 1, instance_id, zone, deadline)
        self.notices.append(notice)
        return notice

    def running(self) -> list[CloudInstance]:
        """Return the instances that are not stopped."""
        return [item for item in self.instances.values() if item.state != STOPPED]

    def spend_per_hour(self) -> float:
        """Return the cost per hour of the running instances at current prices."""
        prices = {
            (item.zone, item.machine_class, item.reclaimable): item.price_per_hour
            for item in self.offers
        }
        return sum(
            prices.get((item.zone, item.machine_class, item.reclaimable), 0.0)
            for item in self.running()
        )

    def _respond(self, body: dict[str, Any]) -> web.Response:
        if self.down:
            return web.json_response({}, status=503)
        return web.json_response(body)

    async def _serve_offers(self, _req: web.Request) -> web.Response:
        return self._respond({"offers": [item._asdict() for item in self.offers]})

    async def _serve_start(self, req: web.Request) -> web.Response:
        if self.down:
            return web.json_response({}, status=503)
        body = await read_json(req)
        try:
            token, zone = str(body["token"]), str(body["zone"])
            machine_class = str(body["machine_class"])
            reclaimable = bool(body["reclaimable"])
            tags = {str(name): str(value) for name, value in body["tags"].items()}
        except (KeyError, AttributeError) as exc:
            return web.json_response({"error": repr(exc)}, status=400)
        reason = self.refusal_reason(zone, machine_class, reclaimable)
        if reason and token not in self._tokens:
            return web.json_response({"refused": reason}, status=409)
        instance = await self.start_instance(
            token, zone, machine_class, reclaimable, tags
        )
        if self.lost_start_answers > 0:
            self.lost_start_answers -= 1
            return abort_connection(req)
        return web.json_response(instance._asdict())

    async def _serve_stop(self, req: web.Request) -> web.Response:
        if self.down:
            return web.json_response({}, status=503)
        await self.stop_instance(req.match_info["id"])
        return web.json_response({})

    async def _serve_instances(self, _req: web.Request) -> web.Response:
        return self._respond({"instances": [item._asdict() for item in self.running()]})

    async def _serve_notices(self, req: web.Request) -> web.Response:
        after = int(req.query.get("after", "0"))
        newer = [item._asdict() for item in self.notices if item.seq > after]
        return self._respond({"notices": newer})
