"""What stand-in engines and plain services have in common."""

import json
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from aiohttp import web
from mode import Service

from ebonydeal._internal.models.endpoints import LoadReport
from ebonydeal._internal.outside.http import LOAD_HEADER, NOT_RUN_HEADER
from ebonydeal._internal.standin.server import StandinServer, standin_app
from ebonydeal._internal.standin.slots import Slots
from ebonydeal._internal.utils.clock import Clock, SystemClock


class EndpointFault(StrEnum):
    """What may go wrong with one attempt at an endpoint."""

    NONE = "none"
    REFUSE = "refuse"
    """503 with the word that it was not run."""
    ERROR = "error"
    """500 without any word, before anything ran."""
    STALL = "stall"
    """Nothing more comes, and the connection stays open."""
    GARBAGE = "garbage"
    """The answer can't be read."""
    BREAK = "break"
    """The connection is reset; a plain service has done the work."""
    TRUNCATE = "truncate"
    """The answer ends in the middle, without the end mark."""
    BREAK_BEFORE = "break_before"
    """The connection is reset before anything ran."""


class PlannedFault(NamedTuple):
    """A fault of one attempt; in a stream, after this many tokens."""

    fault: EndpointFault
    after: int = 0


@dataclass
class EndpointFaults:
    """Switches of an endpoint.

    Attributes
    ----------
    next : deque of PlannedFault
        Faults of the next attempts, one each.
    always : PlannedFault, optional
        Fault of every attempt that has none planned.
    time_factor : float
        Factor on all times.
    retry_after_s : float
        Seconds of rest that a refusal asks for; 0 for none.
    """

    next: deque[PlannedFault] = field(default_factory=deque)
    always: PlannedFault | None = None
    time_factor: float = 1.0
    retry_after_s: float = 0.0

    def take(self) -> PlannedFault:
        """Return the fault of the next attempt, using it up."""
        if self.next:
            return self.next.popleft()
        return self.always or PlannedFault(EndpointFault.NONE)

    def change(self, message: dict[str, Any]) -> None:
        """Set the switches from ``POST /faults``."""
        for item in message.get("next", ()):
            fault = EndpointFault(item["fault"])
            self.next.append(PlannedFault(fault, int(item.get("after", 0))))
        if "always" in message:
            fault = EndpointFault(message["always"])
            self.always = PlannedFault(fault, int(message.get("after", 0)))
        self.time_factor = float(message.get("slow", self.time_factor))
        self.retry_after_s = float(message.get("rest", self.retry_after_s))


def not_run(reason: str, headers: dict[str, str]) -> web.Response:
    """Return the refusal that proves that nothing ran."""
    return web.json_response(
        {"refused": reason}, status=503, headers={**headers, NOT_RUN_HEADER: "1"}
    )


class StandinEndpoint(Service):
    """Base of the stand-in endpoints: listener, slots, load reports, log.

    Parameters
    ----------
    endpoint_id : str
        Id of the instance under the endpoint.
    slots : int
        Attempts that may run at once.
    load_lag : float
        Seconds for which a measured load is told again.
    clock : Clock, optional
        What all waiting goes by.
    port : int
        0 picks a free one.
    """

    kind = ""

    def __init__(
        self,
        endpoint_id: str,
        slots: int,
        load_lag: float,
        *,
        clock: Clock | None = None,
        port: int = 0,
    ) -> None:
        super().__init__()
        self.endpoint_id = endpoint_id
        self.clock = clock or SystemClock()
        self.slots = Slots(slots)
        self.faults = EndpointFaults()
        self.refuses_when_leaving = False
        self.leaving_since: float | None = None
        self.entries: list[dict[str, Any]] = []
        self._load_lag = load_lag
        self._load: tuple[float, LoadReport] | None = None
        self.app = standin_app()
        self.app.router.add_get("/load", self._serve_load)
        self.app.router.add_get("/log", self._serve_log)
        self.app.router.add_post("/faults", self._serve_faults)
        self.server = StandinServer(self.app, port=port)
        self.add_dependency(self.server)

    @property
    def address(self) -> str:
        """``host:port`` once started."""
        return self.server.address

    @property
    def killed(self) -> bool:
        """Whether it died."""
        return self.server.killed

    @property
    def is_leaving(self) -> bool:
        """Whether its instance is being taken back."""
        return self.leaving_since is not None

    def measure_load(self) -> LoadReport:
        """Return the load as it is now."""
        raise NotImplementedError

    def load(self) -> LoadReport:
        """Return the load as it was measured some time ago."""
        now = self.clock.now()
        if self._load is None or now - self._load[0] >= self._load_lag:
            self._load = (now, self.measure_load())
        return self._load[1]

    def load_headers(self) -> dict[str, str]:
        """Return the header that carries the load."""
        return {LOAD_HEADER: json.dumps(self.load().to_message())}

    def refusal_headers(self) -> dict[str, str]:
        """Return the headers of a refusal before running."""
        headers = self.load_headers()
        if self.faults.retry_after_s > 0.0:
            headers["Retry-After"] = f"{self.faults.retry_after_s:g}"
        return headers

    async def simulate_work(self, seconds: float) -> None:
        """Wait as long as work of ``seconds`` takes at present."""
        await self.clock.sleep(seconds * self.faults.time_factor)

    def start_leaving(self) -> None:
        """Note that the instance is being taken back."""
        if self.leaving_since is None:
            self.leaving_since = self.clock.now()

    async def kill(self) -> None:
        """Die at once: every connection is reset."""
        await self.server.kill()

    def attempt_log(self) -> dict[str, Any]:
        """Return every attempt that came here."""
        return {
            "endpoint_id": self.endpoint_id,
            "kind": self.kind,
            "entries": self.entries,
        }

    async def _serve_load(self, _req: web.Request) -> web.Response:
        return web.json_response(self.load().to_message())

    async def _serve_log(self, _req: web.Request) -> web.Response:
        return web.json_response(self.attempt_log())

    async def _serve_faults(self, req: web.Request) -> web.Response:
        self.faults.change(await req.json())
        return web.json_response({})
