"""A stand-in of a replica: a process that runs one request at a time on a connection.

It logs on standard output, one JSON line for each request that it begins and ends.
"""

import argparse
import asyncio
import json
import time
from typing import NamedTuple

_SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
_KEEPALIVE_S = 5
# At most 3 of 100 answers are spoiled.
_MIN_ANSWERS_BETWEEN = 34
# How each rejection begins, and the bytes of it that come again.
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nEbonydeal-Not-Executed: 1\r\n"
TORN_REJECTION = REJECTION.removesuffix(b"\r\n")
_FAILURE = "500 Internal Server Error"
TORN_FAILURE = b"HTTP/1.1 500 Internal Serv"
TORN_SUCCESS = b"HTTP/1.1 200 O"


class Request(NamedTuple):
    """A request as it arrived; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Behaviour(NamedTuple):
    """What the replica does.

    Streams have ``events`` events, one each ``gap_s``; a plain answer takes
    ``work_s``. Without ``framed``, an answer has no length and ends with its
    connection. Beyond ``slots`` requests at once it rejects others, and each
    ``fail_every``-th request fails with a 500; 0 is none. Before ``torn`` of its
    answers it sends the first bytes of an earlier one on the connection once more: of
    a rejection, or with ``torn_failures`` of a failure before a success, and of a
    success before a failure. They come late, when the next answer is due.
    """

    replica_id: str
    events: int
    gap_s: float
    work_s: float
    framed: bool
    slots: int
    fail_every: int
    torn: int
    torn_failures: bool


def log(event: str, **values: object) -> None:
    """Write one line of the record."""
    print(json.dumps({"at": time.time(), "event": event, **values}), flush=True)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _version = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def head_end(headers: dict[str, str]) -> bytes:
    """Return the rest of a head after its first lines."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{fields}\r\n".encode("latin-1")


def head(status: str, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    kept = {"Keep-Alive": f"timeout={_KEEPALIVE_S}"} | headers
    return f"HTTP/1.1 {status}\r\n".encode() + head_end(kept)


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class Replica:
    """The listener of one replica."""

    def __init__(self, does: Behaviour) -> None:
        self._does = does
        self._running = 0
        self._runs = 0
        # What connections carried that may come again, and how many answers came since
        # the last one that was preceded by additional bytes.
        self._first_bytes: dict[asyncio.StreamWriter, bytes] = {}
        self._succeeded: set[asyncio.StreamWriter] = set()
        self._answers_since = 0
        self._torn = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        try:
            while (req := await read_request(reader)) is not None:
                if not await self._answer(req, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._first_bytes.pop(writer, None)
            self._succeeded.discard(writer)
            writer.close()

    def _take_extra(self, writer: asyncio.StreamWriter, rid: str) -> bytes:
        """Return additional bytes that belong to no request, if it is time for them.

        ``rid`` is the request before whose answer they come.
        """
        if self._torn >= self._does.torn or self._answers_since < _MIN_ANSWERS_BETWEEN:
            return b""
        extra = self._first_bytes.pop(writer, b"")
        if extra:
            self._torn += 1
            self._answers_since = 0
            text = extra.decode()
            log("extra", id=rid, bytes=text, replica=self._does.replica_id)
        return extra

    async def _answer(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        rid = req.headers.get("ebonydeal-request-id", "")
        common = {"Ebonydeal-Request-Id": rid}
        expected = req.headers.get("ebonydeal-expect-replica")
        if expected not in (None, self._does.replica_id):
            common |= {"Ebonydeal-Replica-Id": self._does.replica_id}
            writer.write(
                head("421 Misdirected Request", common | {"Content-Length": "0"})
            )
            await writer.drain()
            return True
        if self._running >= self._does.slots:
            if not self._does.torn_failures:
                self._first_bytes[writer] = TORN_REJECTION
            log("rejects", id=rid, replica=self._does.replica_id)
            writer.write(REJECTION + head_end(common | {"Content-Length": "0"}))
            await writer.drain()
            return True
        self._running += 1
        try:
            await self._run(req, writer, rid, common)
        finally:
            self._running -= 1
        return self._does.framed

    async def _run(
        self,
        req: Request,
        writer: asyncio.StreamWriter,
        rid: str,
        common: dict[str, str],
    ) -> None:
        """Run a request and write its answer."""
        log("run", id=rid, target=req.target, replica=self._does.replica_id)
        common = common | {"Ebonydeal-Server-Signature": _SIGNATURE}
        if "ebonydeal-token-usage" in req.headers:
            await self._stream(writer, common, req)
        else:
            await self._plain(writer, common)
        log("end", id=rid, replica=self._does.replica_id)

    async def _stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], req: Request
    ) -> None:
        does = self._does
        headers = headers | {"Content-Type": "text/event-stream"}
        if does.framed:
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Connection"] = "close"
        writer.write(head("200 OK", headers))
        first = int(req.headers.get("last-event-id") or 0) + 1
        for number in range(first, does.events + 1):
            data = event(number)
            if does.framed:
                data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(does.gap_s)
        if does.framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _plain(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        await asyncio.sleep(self._does.work_s)
        body = b"done\n" * 100
        if self._does.framed:
            headers = headers | {"Content-Length": str(len(body))}
        else:
            headers = headers | {"Connection": "close"}
        self._runs += 1
        fails = self._does.fail_every and self._runs % self._does.fail_every == 0
        status = _FAILURE if fails else "200 OK"
        rid = headers["Ebonydeal-Request-Id"]
        log("gives", id=rid, status=status, replica=self._does.replica_id)
        if fails and writer in self._succeeded and self._does.torn_failures:
            self._first_bytes[writer] = TORN_SUCCESS
        self._answers_since += 1
        writer.write(self._take_extra(writer, rid))
        await writer.drain()
        writer.write(head(status, headers) + body)
        if not fails:
            self._succeeded.add(writer)
        elif self._does.torn_failures:
            self._first_bytes[writer] = TORN_FAILURE
        await writer.drain()


async def main() -> None:
    """Listen until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--gap-s", type=float, default=0.2)
    parser.add_argument("--work-s", type=float, default=0.05)
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--slots", type=int, default=128)
    parser.add_argument("--fail-every", type=int, default=0)
    parser.add_argument("--torn", type=int, default=0)
    parser.add_argument("--torn-failures", action="store_true")
    args = parser.parse_args()
    does = Behaviour(
        args.id,
        args.events,
        args.gap_s,
        args.work_s,
        not args.unframed,
        args.slots,
        args.fail_every,
        args.torn,
        args.torn_failures,
    )
    replica = Replica(does)
    server = await asyncio.start_server(
        replica.handle, "127.0.0.1", args.port, reuse_address=True
    )
    log("listens", replica=args.id)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
