"""Endpoints whose answers come again, before the next answer on their connection."""

import asyncio

from tests.lib.raw_endpoints import (
    NOT_RUN,
    Always,
    RawEndpoint,
    answer,
    chunk,
    events,
    request_id,
    stream_head,
)

REFUSAL = NOT_RUN.replace(
    b"Content-Length: 0", b"Retry-After: 0.01\r\nContent-Length: 0"
)
MISDIRECTED = NOT_RUN.replace(b"503 Busy", b"421 Misdirected")
RATE_LIMITED = NOT_RUN.replace(b"503 Busy", b"429 Limited")
BAD_REQUEST = NOT_RUN.replace(b"503 Busy", b"400 Bad")
# Sizes of the pieces in which a copy may come; the last one is split within its id.
WHOLE, IN_PIECES = (), (40,)


class RepeatingEndpoint(RawEndpoint):
    """An endpoint that refuses the first send of each request, and sends copies.

    A copy of ``refusal`` comes before the next answer on its connection, in ``pieces``
    of some sizes and the rest. With ``early`` it comes while the connection is idle.
    ``runs`` holds the requests that ran, ``copies`` counts copies by whether they bear
    the id of the request whose answer follows.
    """

    def __init__(self, name, refusal=REFUSAL, pieces=WHOLE, early=False):
        super().__init__(name)
        self.refusal, self.pieces, self.early = refusal, pieces, early
        self.runs = []
        self.copies = {True: 0, False: 0}
        self._refused = set()
        self._pending = {}

    async def _serve(self, reader, writer):
        self.script = Always(self._answer)
        await super()._serve(reader, writer)

    async def _answer(self, _reader, writer, headers):
        rid = request_id(headers)
        pending = self._pending.pop(writer, None)
        if pending is not None:
            self.copies[pending[0] == rid] += 1
            await self._send_copy(writer, pending[1])
        if rid not in self._refused:
            self._refused.add(rid)
            refusal = self.refusal.replace(b"{id}", rid)
            writer.write(refusal)
            if self.early:
                await asyncio.sleep(0.005)
                self.copies[False] += 1
                await self._send_copy(writer, refusal)
            else:
                self._pending[writer] = rid, refusal
            return
        self.runs.append(rid.decode())
        await self._run(writer, headers)
        await writer.drain()

    async def _send_copy(self, writer, copy):
        for size in self.pieces:
            writer.write(copy[:size])
            copy = copy[size:]
            await asyncio.sleep(0.01)
        writer.write(copy)

    async def _run(self, writer, headers):
        """Write the answer of a run."""
        writer.write(answer(headers))


class RepeatingStreams(RepeatingEndpoint):
    """The same for streams of events."""

    async def _run(self, writer, headers):
        head = stream_head().replace(b"{id}", request_id(headers))
        writer.write(head + chunk(events(1, 3)) + b"0\r\n\r\n")
