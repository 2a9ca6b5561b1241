"""Fakes of the gateway's ports, and a gateway that runs on top of them."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.parts import GatewayConfig, GatewayPorts
from ebonydeal._internal.gateway.ports import (
    EndpointQuery,
    FailedAttempt,
    RetryPort,
    Route,
)
from ebonydeal._internal.gateway.program import GatewayProgram
from ebonydeal._internal.models.document import (
    Account,
    CallRule,
    Deployment,
    Document,
    Weights,
)
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
    LeavingMark,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Priority, Request
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.trail import Trails
from ebonydeal._internal.outside.interfaces import (
    CancelResult,
    Chunk,
    Resume,
    ServiceAnswer,
)
from ebonydeal._internal.peers.journal_client import JournalStatus
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.settings.sections import NodeSettings
from ebonydeal._internal.utils.clock import Clock, SystemClock
from ebonydeal._internal.utils.keys import hash_key

KEY = "sk-kitchen"
ACCOUNT = "kitchen"
MODEL = "covers-8b"
POOL = "covers"
SERVICE = "tracking"
PLACE = Place("wales", "wales-1")
AUTH = {"Authorization": f"Bearer {KEY}"}


def view(name: str, kind: EndpointKind = EndpointKind.ENGINE) -> EndpointView:
    engine = kind is EndpointKind.ENGINE
    return EndpointView(
        endpoint_id=name,
        incarnation=1,
        kind=kind,
        address=f"{name}:80",
        place=PLACE,
        deployment=POOL if engine else SERVICE,
        models=(MODEL,) if engine else (),
        state=EndpointState.READY,
        reclaimable=True,
        evict_per_hour=0.1,
        price_per_hour=1.0,
    )


def deployment(name: str, kind: str, calls: tuple[CallRule, ...] = ()) -> Deployment:
    return Deployment(
        name=name,
        kind=kind,
        models=(MODEL,) if kind == "engine" else (),
        adapters=(),
        accounts=(ACCOUNT,),
        zones=(PLACE,),
        priority=Priority.STANDARD,
        price_ceiling=10.0,
        first_token_s=0.5,
        between_tokens_s=0.05,
        weights=Weights(1.0, 1.0),
        deadline_work=False,
        checks_fence=True,
        min_replicas=1,
        max_replicas=3,
        calls=calls,
    )


def account(name: str = ACCOUNT, key: str = KEY) -> Account:
    hashes = (hash_key(key),)
    return Account(name, hashes, 0.0, 0.0, 0, Priority.INTERACTIVE)


def document() -> Document:
    status = CallRule("POST", "/status", True)
    return Document(
        version=1,
        accounts={ACCOUNT: account(), "other": account("other", "sk-other")},
        deployments={
            POOL: deployment(POOL, "engine"),
            SERVICE: deployment(SERVICE, "service", (status,)),
        },
        places={PLACE.zone: PLACE},
    )


def token_texts(count: int) -> list[str]:
    return [f"w{n} " for n in range(count)]


@dataclass
class EngineAttempt:
    endpoint: str
    attempt_id: str
    body: dict[str, Any]
    resume: Resume | None


class FakeEngine:
    """Engines whose answer is `token_texts`; `faults[endpoint id]` makes one fail.

    A fault is (number of chunks before it, an exception to raise, "stall" or "gap").
    """

    def __init__(self, count: int = 8) -> None:
        self.text = token_texts(count)
        self.faults: dict[str, tuple[int, Any]] = {}
        self.attempts: list[EngineAttempt] = []
        self.cancelled: list[str] = []
        self.exports: list[tuple[str, str]] = []
        self.export_fault: Exception | None = None
        self.import_fault: Exception | None = None
        self.pace: Callable[[], Any] = lambda: asyncio.sleep(0)
        self.open = 0
        self.sent = 0

    async def stream(
        self,
        endpoint: EndpointView,
        path: str,
        body: dict[str, Any],
        attempt_id: str,
        resume: Resume | None = None,
    ) -> AsyncIterator[Chunk]:
        name = endpoint.endpoint_id
        self.attempts.append(EngineAttempt(name, attempt_id, body, resume))
        self.open += 1
        try:
            start = len(resume.delivered) if resume else 0
            after, fault = self.faults.get(name, (-1, None))
            prefilled = 0 if resume and resume.kv_handle else 10 + start
            for sent, position in enumerate(range(start, len(self.text))):
                await self.pace()
                if sent == after:
                    position = await self._fail(fault, position)
                last = position + 1 == len(self.text)
                self.sent += 1
                yield Chunk(
                    position,
                    self.text[position],
                    "stop" if last else "",
                    prefilled_tokens=0 if sent else prefilled,
                )
            if after >= len(self.text) - start:
                await self._fail(fault, len(self.text))
        finally:
            self.open -= 1

    async def _fail(self, fault: Any, position: int) -> int:
        if isinstance(fault, Exception):
            raise fault
        if fault == "stall":
            await asyncio.Event().wait()
        return position + 1

    async def cancel(self, endpoint: EndpointView, attempt_id: str) -> CancelResult:
        self.cancelled.append(attempt_id)
        return CancelResult("stopped", 0)

    async def export_kv(self, endpoint: EndpointView, attempt_id: str) -> str:
        self.exports.append((endpoint.endpoint_id, attempt_id))
        if self.export_fault:
            raise self.export_fault
        return f"kv-{attempt_id}"

    async def import_kv(
        self, endpoint: EndpointView, handle: str, source: EndpointView
    ) -> int:
        if self.import_fault:
            raise self.import_fault
        return 5


class FakeRoutes:
    """Chooses the first endpoint that is not in ``avoid``."""

    def __init__(self, directory: "FakeDirectory") -> None:
        self._directory = directory
        self.queries: list[EndpointQuery] = []
        self.reports: list[tuple[str, str]] = []

    def choose(self, query: EndpointQuery, now: float) -> Route | None:
        self.queries.append(query)
        for item in self._directory.views(query.deployment.name):
            if (item.endpoint_id, item.incarnation) not in query.avoid:
                return Route(item, [{"endpoint": item.endpoint_id, "score": 1.0}])
        return None

    def record_first_token(
        self, route: Route, seconds: float, cached: int, prefilled: int, now: float
    ) -> None:
        self.reports.append(("first", route.endpoint.endpoint_id))

    def record_finished(self, route: Route, tokens: int, now: float) -> None:
        self.reports.append(("finished", route.endpoint.endpoint_id))

    def record_failure(self, route: Route, kind: ErrorKind, now: float) -> None:
        self.reports.append((str(kind), route.endpoint.endpoint_id))


class FakeRetries:
    """Allows `left` attempts in addition to the free ones."""

    def __init__(self, left: int = 3) -> None:
        self.left = left
        self.hedges = 1
        self.failures: list[FailedAttempt] = []

    def record_first_send(self, deployment: str, now: float) -> None:
        pass

    def next_delay(
        self, failure: FailedAttempt, attempts: int, now: float
    ) -> float | EbonydealError:
        self.failures.append(failure)
        if self.left == 0:
            return EbonydealError(failure.kind, retry_after=2.0)
        self.left -= 1
        return 0.0

    def try_hedge(self, deployment: str, deadline: float, now: float) -> bool:
        self.hedges -= 1
        return self.hedges >= 0


class FakeTicket:
    def __init__(self, admission: "FakeAdmission") -> None:
        self._admission = admission

    def release(self, tokens: int) -> None:
        self._admission.released.append(tokens)


class FakeAdmission:
    def __init__(self) -> None:
        self.refusal: EbonydealError | None = None
        self.admitted: list[Request] = []
        self.released: list[int] = []

    async def admit(self, request: Request, deployment: Deployment) -> FakeTicket:
        if self.refusal:
            raise self.refusal
        self.admitted.append(request)
        return FakeTicket(self)

    def admit_deferred(self, request: Request) -> FakeTicket:
        if self.refusal:
            raise self.refusal
        return FakeTicket(self)


class FakeDirectory:
    def __init__(self, *views: EndpointView) -> None:
        self.all = list(views)
        self.leaving: dict[str, float] = {}
        self._callbacks: list[Callable[[LeavingMark], None]] = []

    def views(self, deployment: str) -> tuple[EndpointView, ...]:
        return tuple(
            item
            for item in self.all
            if item.deployment == deployment and not self.is_leaving(item)
        )

    def is_leaving(self, view: EndpointView) -> bool:
        return view.endpoint_id in self.leaving

    def deadline(self, view: EndpointView) -> float:
        return self.leaving[view.endpoint_id]

    def connect_failed(self, endpoint_id: str) -> None:
        pass

    def on_mark(self, callback: Callable[[LeavingMark], None]) -> None:
        self._callbacks.append(callback)

    def mark(self, name: str, deadline: float = 0.0) -> None:
        self.leaving[name] = deadline
        for callback in self._callbacks:
            callback(LeavingMark(name, 1, "", deadline, "cloud", 0.0))


class FakeConfig:
    def __init__(self) -> None:
        self.document = document()


@dataclass
class FakeJournal:
    status_now: JournalStatus = JournalStatus("r-0000-01", "dispatched")
    accepted: list[Request] = field(default_factory=list)
    called: list[Request] = field(default_factory=list)
    asked: list[tuple[str, str, str]] = field(default_factory=list)

    async def accept(self, request: Request) -> JournalStatus:
        self.accepted.append(request)
        return JournalStatus(request.request_id, "accepted")

    async def call(self, request: Request, wait: float) -> JournalStatus:
        self.called.append(request)
        return self.status_now

    async def status(self, request_id: str, account: str) -> JournalStatus:
        self.asked.append(("status", request_id, account))
        return self.status_now

    async def cancel(self, request_id: str, account: str) -> JournalStatus:
        self.asked.append(("cancel", request_id, account))
        return self.status_now


class FakeServices:
    """`answers[endpoint id]` is an answer, an error, or an event to wait for."""

    def __init__(self) -> None:
        self.answers: dict[str, Any] = {}
        self.calls: list[tuple[str, str, str, bytes]] = []
        self.headers: list[dict[str, str]] = []

    async def call(
        self,
        endpoint: EndpointView,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        attempt_id: str,
        timeout: float,
    ) -> ServiceAnswer:
        name = endpoint.endpoint_id
        self.calls.append((name, method, path, body))
        self.headers.append(headers)
        answer = self.answers.get(name)
        if isinstance(answer, asyncio.Event):
            await answer.wait()
            answer = None
        if isinstance(answer, Exception):
            raise answer
        return answer or ServiceAnswer(200, "text/plain", name.encode())


class FakePeers:
    """Connects gateways by address, without sockets."""

    def __init__(self, address: str, net: dict[str, GatewayProgram]) -> None:
        self.address = address
        self._net = net

    def add_routes(self, routes: Any) -> None:
        pass

    async def call(
        self, address: str, path: str, message: dict[str, Any]
    ) -> dict[str, Any]:
        peer = self._net.get(address)
        if peer is None:
            raise EbonydealError(ErrorKind.CONNECT_FAILED, address)
        return await peer.answer_for_peer(message)


class Bench:
    """One gateway on top of fakes."""

    def __init__(
        self,
        engine: FakeEngine | None = None,
        clock: Clock | None = None,
        net: dict[str, GatewayProgram] | None = None,
        address: str = "gw-1:9200",
        retries: RetryPort | None = None,
        **settings: Any,
    ) -> None:
        net = {} if net is None else net
        self.engine = engine or FakeEngine()
        self.clock = clock or SystemClock()
        engines = [view(name) for name in ("e1", "e2", "e3")]
        services = [view(name, EndpointKind.SERVICE) for name in ("s1", "s2")]
        self.directory = FakeDirectory(*engines, *services)
        self.routes = FakeRoutes(self.directory)
        self.retries: Any = retries or FakeRetries()
        self.admission = FakeAdmission()
        self.config = FakeConfig()
        self.journal = FakeJournal()
        self.services = FakeServices()
        self.metrics = Metrics()
        defaults = {"port": 0, "settle_seconds": 0.0, "operator_token": "op"}
        cfg = GatewaySettings(**{**defaults, **settings})
        ports = GatewayPorts(
            engine=self.engine,
            services=self.services,
            routes=self.routes,
            retries=self.retries,
            admission=self.admission,
            directory=self.directory,
            config=self.config,
            journal=self.journal,
            peers=FakePeers(address, net),
            trails=Trails(cfg.explain_requests),
        )
        self.program = GatewayProgram(
            GatewayConfig(NodeSettings(), cfg, "peer-secret", 64),
            ports,
            self.metrics,
            self.clock,
            random.Random(1),
        )
        net[address] = self.program

    @property
    def url(self) -> str:
        return f"http://{self.program.address}"

    async def __aenter__(self) -> "Bench":
        await self.program.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.program.stop()
