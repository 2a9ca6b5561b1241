"""The gateway's supervisor tree."""

from collections.abc import Iterable
from random import Random
from typing import Any

from aiohttp import web
from mode import Service

from ebonydeal._internal.directory.crash_guard import CrashGuard
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.api import Api, ApiParts
from ebonydeal._internal.gateway.attempt_control import StreamRunnerParts
from ebonydeal._internal.gateway.background import Background
from ebonydeal._internal.gateway.deferred import Deferred, DeferredParts
from ebonydeal._internal.gateway.direct_calls import DirectParts
from ebonydeal._internal.gateway.endpoint_health import EndpointHealth
from ebonydeal._internal.gateway.generation import Generation, GenerationParts
from ebonydeal._internal.gateway.intake import Intake
from ebonydeal._internal.gateway.parts import GatewayConfig, GatewayPorts
from ebonydeal._internal.gateway.reconnect import (
    RESUME_PATH,
    Reconnector,
    RetainedAnswers,
)
from ebonydeal._internal.gateway.services import ServiceParts, Services
from ebonydeal._internal.gateway.stream_migrator import MigratorParts, StreamMigrator
from ebonydeal._internal.gateway.stream_runner import StreamRunner
from ebonydeal._internal.gateway.stream_watchdog import StreamWatchdog
from ebonydeal._internal.gateway.wiring import build_ports
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.utils.clients.budget import ClientBudget
from ebonydeal._internal.utils.clients.connection import ClientBounds, RequestLimits
from ebonydeal._internal.utils.clients.machine import client_budget_config
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.web import HttpServer, read_json

logger = get_logger("gateway")

_HEALTH_RESULT_TTL_S = 30.0


class GatewayProgram(Service):
    """Listener for callers, and the services that it depends on.

    Parameters
    ----------
    cfg : GatewayConfig
        Settings.
    ports : GatewayPorts
        Interfaces to the other components.
    metrics, clock, rng : Metrics, Clock, random.Random
        Counters, time, ids.

    Attributes
    ----------
    draining : bool
        Whether shutdown has begun; ``/health/ready`` then fails.
    ports : GatewayPorts
        Interfaces to the other components.
    stream_runner : StreamRunner
        Runs the answers in progress.
    trails : Trails
        Decision trails of the most recent requests.
    """

    def __init__(
        self,
        cfg: GatewayConfig,
        ports: GatewayPorts,
        metrics: Metrics,
        clock: Clock,
        rng: Random,
    ) -> None:
        super().__init__()
        self._cfg = cfg
        self.ports = ports
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self.draining = False
        self.trails = ports.trails
        self._background = Background()
        self._health = EndpointHealth(_HEALTH_RESULT_TTL_S)
        self._crashes = CrashGuard(metrics, clock)
        self._intake = Intake(ports.config, cfg.gateway, cfg.shards, clock, rng)
        self._interrupted = self._new_retained()
        self._finished = self._new_retained()
        self.stream_runner = self._new_runner()
        self._reconnector = Reconnector(
            self.stream_runner,
            self._interrupted,
            self._finished,
            ports.peers,
            metrics,
            clock,
        )
        self._migrator = self._new_migrator()
        self._server = self._new_server()
        ports.peers.add_routes([web.post(RESUME_PATH, self._resume_for_peer)])

    @classmethod
    def from_config(
        cls,
        settings: dict[str, Any],
        metrics: Metrics,
        clock: Clock,
        rng: Random,
    ) -> "GatewayProgram":
        """Build the supervisor tree from the settings sections."""
        cfg, ports = build_ports(settings, metrics, clock, rng)
        return cls(cfg, ports, metrics, clock, rng)

    @property
    def address(self) -> str:
        """``host:port`` of the listener for callers; set after the start."""
        return self._server.address

    @property
    def metrics(self) -> Metrics:
        """Metrics of this program."""
        return self._metrics

    # --- lifecycle ---
    async def on_start(self) -> None:
        """Start the other components, then the gateway's own; the listener last."""
        own: Iterable[Service] = (
            self._background,
            StreamWatchdog(self.stream_runner, self._cfg.gateway, self._clock),
            self._migrator,
            self._server,
        )
        for child in (*self.ports.children, *own):
            await self.add_runtime_dependency(child)
        logger.info("Listening.", address=self.address)

    async def on_stop(self) -> None:
        """Fail the readiness check, let running requests finish, close the listener."""
        self.draining = True
        logger.info("Draining.", streams=len(self.stream_runner.live_streams))
        await self._clock.sleep(self._cfg.gateway.settle_seconds)
        await self._server.stop()

    # --- building ---
    def _new_retained(self) -> RetainedAnswers:
        cfg = self._cfg.gateway
        return RetainedAnswers(cfg.retention_seconds, cfg.retention_tokens // 2)

    def _new_runner(self) -> StreamRunner:
        ports = self.ports
        parts = StreamRunnerParts(
            engine=ports.engine,
            routes=ports.routes,
            retries=ports.retries,
            directory=ports.directory,
            health=self._health,
            crashes=self._crashes,
            metrics=self._metrics,
            trails=self.trails,
            clock=self._clock,
            rng=self._rng,
        )
        return StreamRunner(parts, self._cfg.gateway, self._background.spawn)

    def _new_migrator(self) -> StreamMigrator:
        parts = MigratorParts(
            runner=self.stream_runner,
            engine=self.ports.engine,
            directory=self.ports.directory,
            metrics=self._metrics,
            trails=self.trails,
            clock=self._clock,
            background=self._background.spawn,
        )
        return StreamMigrator(parts, self._cfg.gateway)

    def _new_server(self) -> HttpServer:
        cfg = self._cfg.gateway
        api = ApiParts(
            generation=self._new_generation(),
            services=self._new_services(),
            deferred=self._new_deferred(),
            intake=self._intake,
            metrics=self._metrics,
            trails=self.trails,
            clock=self._clock,
            draining=lambda: self.draining,
        )
        return HttpServer(
            Api(api, cfg).app(),
            self._cfg.node.host,
            cfg.port,
            ssl_context=self._cfg.ssl_server,
            drain_seconds=self._cfg.node.drain_seconds,
            idle_seconds=cfg.idle_seconds,
            max_header=cfg.max_header_bytes,
            bounds=ClientBounds(
                ClientBudget(client_budget_config(self._cfg.node), self._clock.now),
                self._request_limits,
                self._metrics,
            ),
        )

    def _request_limits(self) -> RequestLimits:
        cfg = self._cfg.gateway
        return RequestLimits(
            cfg.max_head_bytes,
            cfg.max_body_bytes,
            cfg.head_seconds,
            cfg.idle_seconds,
            cfg.write_seconds,
        )

    def _new_generation(self) -> Generation:
        parts = GenerationParts(
            intake=self._intake,
            admission=self.ports.admission,
            runner=self.stream_runner,
            reconnector=self._reconnector,
            interrupted=self._interrupted,
            finished=self._finished,
            metrics=self._metrics,
            trails=self.trails,
            clock=self._clock,
        )
        return Generation(
            parts, self._cfg.gateway, self._cfg.credential, self.ports.peers
        )

    def _new_services(self) -> Services:
        ports = self.ports
        direct = DirectParts(
            services=ports.services,
            routes=ports.routes,
            retries=ports.retries,
            directory=ports.directory,
            health=self._health,
            crashes=self._crashes,
            metrics=self._metrics,
            trails=self.trails,
            clock=self._clock,
            rng=self._rng,
        )
        parts = ServiceParts(
            intake=self._intake,
            admission=ports.admission,
            direct=direct,
            journal=ports.journal,
            metrics=self._metrics,
            trails=self.trails,
            clock=self._clock,
        )
        return Services(parts, self._cfg.gateway)

    def _new_deferred(self) -> Deferred:
        return Deferred(
            DeferredParts(
                self._intake,
                self.ports.admission,
                self.ports.journal,
                self._metrics,
                self._clock,
            )
        )

    # --- for other gateways ---
    async def answer_for_peer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Return a retained answer whose caller reconnected to another gateway.

        Raises NOT_FOUND if it is not retained here.
        """
        match message:
            case {"request_id": str(request_id), "account": str(account)}:
                entry = await self._reconnector.take_over(request_id, account)
            case _:
                raise EbonydealError(
                    ErrorKind.BAD_REQUEST,
                    "missing request id or account",
                )
        if entry is None:
            raise EbonydealError(ErrorKind.NOT_FOUND, "the answer is not retained here")
        return entry.to_message()

    async def _resume_for_peer(self, req: web.Request) -> web.Response:
        """``POST /gateway/v1/resume``."""
        return web.json_response(await self.answer_for_peer(await read_json(req)))
