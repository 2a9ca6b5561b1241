"""Components of the measurement: engine, plain proxy, gateway, caller."""

import asyncio
import json
import random
from collections.abc import Callable, Iterable
from typing import Any

from aiohttp import ClientSession, TCPConnector, web
from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.admission_queue import AdmissionQueue
from ebonydeal._internal.gateway.budget import RetryBudget
from ebonydeal._internal.gateway.parts import GatewayConfig, GatewayPorts
from ebonydeal._internal.gateway.program import GatewayProgram
from ebonydeal._internal.gateway.routes import RouterAdapter
from ebonydeal._internal.models.document import Document
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
    LeavingMark,
    LoadReport,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.trail import Trails
from ebonydeal._internal.outside.engines import HttpEngine
from ebonydeal._internal.outside.services import HttpPlainServices
from ebonydeal._internal.peers.journal_client import JournalStatus
from ebonydeal._internal.routing.admission.admission import Admission
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.routing.retries.retries import RetryPolicy
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.settings.routing import (
    AdmissionSettings,
    RetrySettings,
    RoutingSettings,
)
from ebonydeal._internal.settings.sections import NodeSettings
from ebonydeal._internal.utils.clock import SystemClock
from ebonydeal._internal.utils.keys import hash_key
from ebonydeal._internal.utils.web import HttpServer

PATH = "/v1/chat/completions"
MODEL = "measured"
KEY = "sk-measured"
_PLACE = Place("local", "local-1")
_TOKEN_INTERVAL_S = 0.02
_SLOTS = 10_000
_PROMPT_WORDS = 200


def _chunk(position: int, last: bool) -> bytes:
    """Return an engine's event of one token."""
    message: dict[str, Any] = {
        "position": position,
        "choices": [
            {
                "index": 0,
                "delta": {"content": "token "},
                "finish_reason": "length" if last else None,
            }
        ],
    }
    if position == 0:
        message["usage_start"] = {"cached_tokens": 0, "prefilled_tokens": 200}
    return b"data: " + json.dumps(message).encode() + b"\n\n"


async def _generate(req: web.Request) -> web.StreamResponse:
    """Answer as an engine does, with one write per token at equal intervals."""
    count = (await req.json())["max_tokens"]
    resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await resp.prepare(req)
    for position in range(count):
        await resp.write(_chunk(position, position + 1 == count))
        await asyncio.sleep(_TOKEN_INTERVAL_S)
    await resp.write(b"data: [DONE]\n\n")
    return resp


def engine_server() -> HttpServer:
    """Return an engine with little processor time of its own."""
    app = web.Application()
    app.router.add_post(PATH, _generate)
    return HttpServer(app, "127.0.0.1", 0, drain_seconds=1.0)


class PlainProxy(Service):
    """A proxy that only forwards bytes: the lower bound of the gateway's cost."""

    def __init__(self, engine: str) -> None:
        super().__init__()
        self._engine = engine
        app = web.Application()
        app.router.add_post(PATH, self._forward)
        self._server = HttpServer(app, "127.0.0.1", 0, drain_seconds=1.0)

    @property
    def address(self) -> str:
        """``host:port`` as bound."""
        return self._server.address

    async def on_start(self) -> None:
        """Open the session and bind the listener."""
        self._session = ClientSession(connector=TCPConnector(limit=0))
        await self.add_runtime_dependency(self._server)

    async def on_shutdown(self) -> None:
        """Close the session."""
        await self._session.close()

    async def _forward(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        url = f"http://{self._engine}{PATH}"
        async with self._session.post(url, data=body) as answer:
            resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await resp.prepare(req)
            async for part in answer.content.iter_any():
                await resp.write(part)
            return resp


class _Directory:
    """A directory with one endpoint that never leaves."""

    def __init__(self, address: str) -> None:
        load = LoadReport(0, 0, _SLOTS, 0.0, 50.0, 0.0)
        self._views = (
            EndpointView(
                endpoint_id="engine-1",
                incarnation=1,
                kind=EndpointKind.ENGINE,
                address=address,
                place=_PLACE,
                deployment=MODEL,
                models=(MODEL,),
                state=EndpointState.READY,
                reclaimable=False,
                evict_per_hour=0.0,
                price_per_hour=1.0,
                load=load,
            ),
        )

    def views(self, deployment: str) -> tuple[EndpointView, ...]:
        return self._views

    def is_leaving(self, view: EndpointView) -> bool:
        return False

    def deadline(self, view: EndpointView) -> float:
        return 0.0

    def connect_failed(self, endpoint_id: str) -> None:
        return

    def on_mark(self, callback: Callable[[LeavingMark], None]) -> None:
        return


class _Config:
    """A document with one account and one deployment."""

    def __init__(self) -> None:
        self.document = Document.from_config(
            {
                "regions": [{"name": _PLACE.region, "zones": [_PLACE.zone]}],
                "accounts": [{"name": "measured", "key_hashes": [hash_key(KEY)]}],
                "deployments": [
                    {
                        "name": MODEL,
                        "kind": "engine",
                        "models": [MODEL],
                        "accounts": ["measured"],
                        "zones": [_PLACE.zone],
                        "price_ceiling_per_hour": 1.0,
                    }
                ],
            },
            1,
        )


class _NoPeers:
    """Peers of a gateway that has none."""

    address = "127.0.0.1:0"

    def add_routes(self, routes: Iterable[web.AbstractRouteDef]) -> None:
        return

    async def call(
        self, address: str, path: str, message: dict[str, Any]
    ) -> dict[str, Any]:
        raise EbonydealError(ErrorKind.CONNECT_FAILED, address)


class _NoJournal:
    """A journal that is never available; the measurement doesn't use it."""

    async def accept(self, request: Request) -> JournalStatus:
        raise EbonydealError(ErrorKind.JOURNAL_UNAVAILABLE)

    async def call(self, request: Request, wait: float) -> JournalStatus:
        raise EbonydealError(ErrorKind.JOURNAL_UNAVAILABLE)

    async def status(self, request_id: str, account: str) -> JournalStatus:
        raise EbonydealError(ErrorKind.JOURNAL_UNAVAILABLE)

    async def cancel(self, request_id: str, account: str) -> JournalStatus:
        raise EbonydealError(ErrorKind.JOURNAL_UNAVAILABLE)


def gateway(engine: str, seed: int) -> GatewayProgram:
    """Return a complete gateway with the real decisions and one engine."""
    rng, clock, metrics = random.Random(seed), SystemClock(), Metrics()
    cfg = GatewaySettings(port=0, settle_seconds=0.0)
    directory, config = _Directory(engine), _Config()
    trails = Trails(cfg.explain_requests)
    admission = Admission.from_config(AdmissionSettings(), "gateway-1", rng)
    router = Router.from_config(RoutingSettings(), rng)
    routes = RouterAdapter(router, directory, _PLACE)
    admission_queue = AdmissionQueue(
        admission, routes.capacity, config, metrics, trails, clock, rng
    )
    ports = GatewayPorts(
        engine=HttpEngine(2.0),
        services=HttpPlainServices(2.0),
        routes=routes,
        retries=RetryBudget(RetryPolicy.from_config(RetrySettings(), rng)),
        admission=admission_queue,
        directory=directory,
        config=config,
        journal=_NoJournal(),
        peers=_NoPeers(),
        trails=trails,
        children=(admission_queue,),
    )
    gateway_config = GatewayConfig(NodeSettings(), cfg, "credential", 16)
    return GatewayProgram(gateway_config, ports, metrics, clock, rng)


async def send_requests(
    address: str, requests: int, tokens: int, concurrency: int
) -> None:
    """Send requests, ``concurrency`` at a time, and read every answer completely."""
    words = " ".join(f"word{n}" for n in range(_PROMPT_WORDS))
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": words}],
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {KEY}"}
    semaphore = asyncio.Semaphore(concurrency)

    async def send_one(http: ClientSession) -> None:
        async with semaphore, http.post(f"http://{address}{PATH}", json=body) as resp:
            raw = await resp.read()
        if raw.count(b"token ") != tokens or b"[DONE]" not in raw:
            raise EbonydealError(ErrorKind.ENDPOINT_GARBAGE, "incomplete answer")

    connector = TCPConnector(limit=0)
    async with ClientSession(headers=headers, connector=connector) as http:
        await asyncio.gather(*(send_one(http) for _ in range(requests)))
