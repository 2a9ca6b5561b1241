"""Response stream of server-sent events."""

from aiohttp import web

from ebonydeal._internal.gateway.answers import AnswerBuilder
from ebonydeal._internal.gateway.events import EventIds
from ebonydeal._internal.gateway.live_stream import LiveStream, Piece

_STREAM_HEADERS = {
    "Content-Type": "text/event-stream; charset=utf-8",
    "Cache-Control": "no-cache",
}


class StreamOutput:
    """Response stream to a caller; the response starts with the first write.

    Parameters
    ----------
    req : web.Request
        The caller's request.
    live : LiveStream
        The answer; its ``writing_since`` is set while a write is pending.
    ids : EventIds
        Creates the event ids.
    builder : AnswerBuilder
        Builds the events.
    """

    def __init__(
        self, req: web.Request, live: LiveStream, ids: EventIds, builder: AnswerBuilder
    ) -> None:
        self._req = req
        self._live = live
        self._ids = ids
        self._builder = builder
        self.resp: web.StreamResponse | None = None

    def event(self, piece: Piece) -> bytes:
        """Return the event of a piece."""
        attempt = self._live.attempt
        source = ("", 0, "")
        if attempt is not None:
            view = attempt.route.endpoint
            source = (view.endpoint_id, view.incarnation, attempt.attempt_id)
        return self._builder.event(piece, self._ids.make(source, piece))

    async def _prepare(self) -> web.StreamResponse:
        """Return the response; prepares it on the first call."""
        if self.resp is None:
            self.resp = web.StreamResponse(headers=_STREAM_HEADERS)
            await self.resp.prepare(self._req)
        return self.resp

    async def write(self, data: bytes, now: float) -> None:
        """Write data; waits while the caller's connection is blocked."""
        resp = await self._prepare()
        self._live.writing_since = now
        await resp.write(data)
        self._live.writing_since = None

    async def end(self, data: bytes, now: float) -> None:
        """Write the last data and end the response in one write."""
        resp = await self._prepare()
        self._live.writing_since = now
        await resp.write_eof(data)
        self._live.writing_since = None
