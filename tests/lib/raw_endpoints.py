"""Endpoints of forwarded routes whose answers are given as raw bytes."""

import asyncio
import json


class RawEndpoint:
    """An endpoint whose answers are given as raw bytes.

    ``script`` holds one item per request: bytes to send, or a coroutine function
    that gets the reader, the writer and the request's headers.
    """

    def __init__(self, name, script=()):
        self.name = name
        self.script = list(script)
        self.seen = []
        self.bodies = []
        self.closed = asyncio.Event()
        self.connections = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = parse_head(head)
                length = int(headers.get("content-length", 0))
                self.bodies.append(await reader.readexactly(length))
                self.seen.append(head)
                step = self.script.pop(0) if self.script else answer(headers)
                if callable(step):
                    await step(reader, writer, headers)
                else:
                    writer.write(step.replace(b"{id}", request_id(headers)))
                    await writer.drain()
                if writer.is_closing():
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.close()

    def ids(self):
        return [request_id(parse_head(head)).decode() for head in self.seen]

    def row(self, service="s", zone="z", state="ready", **extra):
        message = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "max_slots": 8,
            "state": state,
            **extra,
        }
        return json.dumps(message).encode()

    async def stop(self):
        self._server.close()


class Always(list):
    """A script that never ends."""

    def __init__(self, step):
        super().__init__([step])

    def pop(self, _index=0):
        return self[0]


def parse_head(head):
    lines = head.split("\r\n")[1:]
    pairs = (line.split(": ", 1) for line in lines if ": " in line)
    return {name.lower(): value for name, value in pairs}


def request_id(headers):
    return headers.get("ebonydeal-request-id", "").encode()


def answer(headers=None, body=b"hello", status=b"200 OK", extra=b""):
    """Return a valid answer; ``{id}`` stands for the request's id."""
    rid = b"{id}" if headers is None else request_id(headers)
    return (
        b"HTTP/1.1 %b\r\nEbonydeal-Request-Id: %b\r\n"
        b"Ebonydeal-Server-Signature: sig\r\n%bContent-Length: %d\r\n\r\n%b"
        % (status, rid, extra, len(body), body)
    )


def events(first, last):
    return b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(first, last + 1))


def stream_head(extra=b""):
    return (
        b"HTTP/1.1 200 OK\r\nEbonydeal-Request-Id: {id}\r\n"
        b"Ebonydeal-Server-Signature: sig\r\nContent-Type: text/event-stream\r\n"
        b"%bTransfer-Encoding: chunked\r\n\r\n" % extra
    )


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def close_delimited(body, content_type=b"text/event-stream"):
    """Answer with neither a length nor chunks, and close the connection."""

    async def step(_reader, writer, headers):
        writer.write(
            b"HTTP/1.1 200 OK\r\nEbonydeal-Request-Id: %b\r\n"
            b"Ebonydeal-Server-Signature: sig\r\nContent-Type: %b\r\n\r\n%b"
            % (request_id(headers), content_type, body)
        )
        await writer.drain()
        writer.close()

    return step


NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\nEbonydeal-Request-Id: {id}\r\n"
    b"Ebonydeal-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
