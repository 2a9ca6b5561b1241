"""Base of the simulated engines and plain services."""

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
    """Fault of one attempt at an endpoint."""

    NONE = "none"
    REFUSE = "refuse"
    """503 with the header that states that it was not run."""
    ERROR = "error"
    """500 without that header, before anything ran."""
    STALL = "stall"
    """No more data is sent, and the connection stays open."""
    GARBAGE = "garbage"
    """The answer is malformed."""
    BREAK = "break"
    """The connection is reset; a plain service has run the call."""
    TRUNCATE = "truncate"
    """The answer ends in the middle, without the end marker."""
    BREAK_BEFORE = "break_before"
    """The connection is reset before anything ran."""


class PlannedFault(NamedTuple):
    """Fault of one attempt; in a stream it occurs after ``after`` tokens."""

    fault: EndpointFault
    after: int = 0


@dataclass
class EndpointFaults:
    """Faults of an endpoint, which may be changed at any time.

    Attributes
    ----------
    next : deque of PlannedFault
        Faults of the next attempts, one for each.
    always : PlannedFault, optional
        Fault of every attempt without one in ``next``.
    time_factor : float
        Factor on all durations.
    retry_after_s : float
        Backoff that refusals request (``Retry-After``), seconds; 0 for none.
    """

    next: deque[PlannedFault] = field(default_factory=deque)
    always: PlannedFault | None = None
    time_factor: float = 1.0
    retry_after_s: float = 0.0

    def pop_next(self) -> PlannedFault:
        """Remove and return the fault of the next attempt."""
        if self.next:
            return self.next.popleft()
        return self.always or PlannedFault(EndpointFault.NONE)

    def change(self, message: dict[str, Any]) -> None:
        """Change the faults as ``POST /faults`` requests."""
        for item in message.get("next", ()):
            fault = EndpointFault(item["fault"])
            self.next.append(PlannedFault(fault, int(item.get("after", 0))))
        if "always" in message:
            fault = EndpointFault(message["always"])
            self.always = PlannedFault(fault, int(message.get("after", 0)))
        self.time_factor = float(message.get("slow", self.time_factor))
        self.retry_after_s = float(message.get("rest", self.retry_after_s))


def not_run(reason: str, headers: dict[str, str]) -> web.Response:
    """Return a refusal which states that the request was not run."""
    return web.json_response(
        {"refused": reason}, status=503, headers={**headers, NOT_RUN_HEADER: "1"}
    )


class StandinEndpoint(Service):
    """Base of the simulated endpoints: listener, slots, load reports, log.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint's instance.
    slots : int
        Attempts that may run at once.
    load_lag : float
        Seconds for which a measured load is reused.
    clock : Clock, optional
        Clock of all delays.
    port : int
        0 picks a free port.
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
        """``host:port``; available after the start."""
        return self.server.address

    @property
    def killed(self) -> bool:
        """Whether the endpoint was killed."""
        return self.server.killed

    @property
    def is_leaving(self) -> bool:
        """Whether its instance is being reclaimed."""
        return self.leaving_since is not None

    def measure_load(self) -> LoadReport:
        """Return the current load."""
        raise NotImplementedError

    def load(self) -> LoadReport:
        """Return the last measured load, at most ``load_lag`` old."""
        now = self.clock.now()
        if self._load is None or now - self._load[0] >= self._load_lag:
            self._load = (now, self.measure_load())
        return self._load[1]

    def load_headers(self) -> dict[str, str]:
        """Return the header with the load report."""
        return {LOAD_HEADER: json.dumps(self.load().to_message())}

    def refusal_headers(self) -> dict[str, str]:
        """Return the headers of a refusal before the run."""
        headers = self.load_headers()
        if self.faults.retry_after_s > 0.0:
            headers["Retry-After"] = f"{self.faults.retry_after_s:g}"
        return headers

    async def simulate_work(self, seconds: float) -> None:
        """Wait for ``seconds`` of work, scaled by the time factor."""
        await self.clock.sleep(seconds * self.faults.time_factor)

    def start_leaving(self) -> None:
        """Record that the instance is being reclaimed."""
        if self.leaving_since is None:
            self.leaving_since = self.clock.now()

    async def kill(self) -> None:
        """Stop at once and reset every connection."""
        await self.server.kill()

    def attempt_log(self) -> dict[str, Any]:
        """Return the log of all attempts that arrived here."""
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
