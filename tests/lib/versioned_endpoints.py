"""Endpoints of two software versions, and clients that resume streams broken off."""

import asyncio
import re
from typing import NamedTuple

from tests.lib.raw_endpoints import Always, RawEndpoint, chunk, request_id, stream_head
from tests.lib.relay_fakes import Client

STREAM_EVENTS = 4
# Events that a run sends before it breaks off.
EVENTS_PER_RUN = 2
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class VersionedEndpoint(RawEndpoint):
    """An endpoint whose events name its version, and whose runs all break off."""

    def __init__(self, name, version):
        super().__init__(name)
        self.version = version
        self.events_per_run = EVENTS_PER_RUN

    def row(self, **extra):
        return super().row(**{"version": self.version, **extra})

    async def _serve(self, reader, writer):
        self.script = Always(self._stream)
        await super()._serve(reader, writer)

    async def _stream(self, _reader, writer, headers):
        last = int(headers.get("last-event-id", 0))
        end = min(STREAM_EVENTS, last + self.events_per_run)
        head = stream_head().replace(b"{id}", request_id(headers))
        writer.write(head + b"".join(self._event(n) for n in range(last + 1, end + 1)))
        await writer.drain()
        if end == STREAM_EVENTS:
            writer.write(b"0\r\n\r\n")
            return
        await asyncio.sleep(0.02)
        writer.transport.abort()

    def _event(self, number):
        return chunk(b"id: %d\ndata: %b\n\n" % (number, self.version.encode()))


def endpoints_of_two_versions(count=3):
    """Return as many endpoints of each version."""
    return [
        VersionedEndpoint(f"{version}-{number}", version)
        for version in ("v1", "v2")
        for number in range(count)
    ]


class ReceivedStream(NamedTuple):
    """What a client received over all of its attempts.

    ``resumed`` says whether it came back, ``went_on`` whether events followed then.
    """

    versions: set[bytes]
    events: int
    resumed: bool
    went_on: bool

    @property
    def is_complete(self):
        return self.events == STREAM_EVENTS


async def receive(rid, programs, between=None):
    """Receive a stream; each attempt goes to the next relay.

    ``between`` is awaited before the client comes back.
    """
    received, at_first = [], 0
    for number, program in enumerate(programs):
        headers = [("Connection", "close")]
        if number:
            if not received:
                break
            headers.append(("Last-Event-Id", str(len(received))))
            headers.append(("Resumes", f"{rid}-0"))
        received += await _attempt(program, f"{rid}-{number}", headers)
        at_first = at_first or len(received)
        if len(received) == STREAM_EVENTS:
            break
        if between is not None and number == 0:
            await between()
    resumed = number > 0 and at_first > 0
    return ReceivedStream(
        set(received), len(received), resumed, resumed and len(received) > at_first
    )


async def _attempt(program, rid, headers):
    """Return the versions of the events of one attempt."""
    async with Client(program) as client:
        await client.send("/again/", rid=rid, method="POST", headers=headers)
        data = await asyncio.wait_for(client.reader.read(), 5.0)
    return [version for _number, version in _EVENT.findall(data)]
