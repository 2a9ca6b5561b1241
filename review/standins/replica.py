"""A replica of a plain service: slots, a short queue, and answers over HTTP/1.1."""

import asyncio
import json
import random
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from standins.record import Record

KEEPALIVE_S = 5


class Request(NamedTuple):
    """A request as a replica reads it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The client's id of the request."""
        return self.headers.get("ebonydeal-request-id", "")


def answer(
    req: Request, status: str, body: bytes, *extra: str, length: bool = True
) -> bytes:
    """Return an answer that echoes the request's id."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Ebonydeal-Request-Id: {req.request_id}",
        *extra,
    ]
    if length:
        lines += [f"Content-Length: {len(body)}", f"Keep-Alive: timeout={KEEPALIVE_S}"]
    else:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + body


def refusal(req: Request, status: str = "503 Full") -> bytes:
    """Return an answer which states that the request was not run."""
    return answer(req, status, b"", "Ebonydeal-Not-Executed: 1")


def success(req: Request, body: bytes, length: bool = True) -> bytes:
    """Return a signed answer."""
    signed = "Ebonydeal-Server-Signature: 3e1b.07.5a2"
    kind = "Content-Type: application/octet-stream"
    return answer(req, "200 OK", body, signed, kind, length=length)


class Replica:
    """One replica of a plain service.

    Parameters
    ----------
    name : str
        Its id.
    record : Record
        Gets a line for each arrival, run and answer.
    work_s : tuple of float
        Shortest and longest time of a run.
    slots, queue : int
        Requests that run at once, and that wait for that.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        work_s: tuple[float, float],
        slots: int = 6,
        queue: int = 4,
        seed: int = 1,
    ) -> None:
        self.name = name
        self.rng = random.Random(f"{name}-{seed}")
        self.runs: list[str] = []
        self._record = record
        self._work_s = work_s
        self._queue = queue
        self._max_slots = slots
        self._slots = asyncio.Semaphore(slots)
        self._present = 0
        self._server: asyncio.Server | None = None
        self.address = ""
        self.zone = "z1"
        # Whether it may be reclaimed, and when it will be gone, by the record's time.
        self.spot = False
        self.leaves_at: float | None = None
        # Returns whether a late second copy of an answer follows on its connection.
        self.repeats_late: Callable[[], bool] = lambda: False
        # Returns the body, and whether its length is stated.
        self.body: Callable[[Request], tuple[bytes, bool]] = lambda req: (
            req.request_id.encode(),
            True,
        )

    async def start(self) -> "Replica":
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    def stop(self) -> None:
        """Close the listening socket."""
        if self._server is not None:
            self._server.close()

    def entry(self, service: str) -> dict[str, object]:
        """Return its row in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": self.zone,
            "version": 1,
            "max_slots": self._max_slots,
            "state": "ready" if self.leaves_at is None else "draining",
            "spot": self.spot,
            "cold_left_ms": 0,
            "call_seq": 0,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late = b""
        try:
            while True:
                req = await read_request(reader)
                if late:
                    copied = late.split(b"\r\n")[1].decode().rpartition(" ")[2]
                    self._record.line(
                        self.name, "late copy of", copied, "before", req.request_id
                    )
                    writer.write(late)
                    late = b""
                data = await self._answer(req)
                writer.write(data)
                await writer.drain()
                if b"Connection: close" in data[:1000]:
                    return
                if self.repeats_late():
                    late = data
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _report(self, req: Request) -> bytes:
        """Return the answer to ``GET /-/report``."""
        report: dict[str, object] = {"stage": "both", "busy": False, "queued": 0}
        if self.leaves_at is not None:
            left_s = max(0.0, self.leaves_at - self._record.now())
            report["leaves_ms"] = round(left_s * 1000)
        return answer(req, "200 OK", json.dumps(report).encode())

    async def _answer(self, req: Request) -> bytes:
        if req.target == "/-/report":
            return self._report(req)
        if req.headers.get("ebonydeal-expect-replica", self.name) != self.name:
            return refusal(req, "421 Other")
        if self._present >= self._max_slots + self._queue:
            self._record.line(self.name, "refuses", req.request_id)
            return refusal(req)
        self._present += 1
        try:
            async with self._slots:
                self.runs.append(req.request_id)
                self._record.line(self.name, "runs", req.request_id)
                await asyncio.sleep(self.rng.uniform(*self._work_s))
        finally:
            self._present -= 1
        body, length = self.body(req)
        self._record.line(self.name, "answers", req.request_id, len(body))
        return success(req, body, length)


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _version = head[0].split(" ", 2)
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, _sep, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


async def stop_all(replicas: list[Replica]) -> None:
    """Close the sockets of replicas."""
    for replica in replicas:
        with suppress(OSError):
            replica.stop()
