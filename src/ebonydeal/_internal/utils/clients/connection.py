"""Client connections that count what they hold, and bound each request.

The library bounds lines, fields, and how much of a body it reads ahead. It bounds
neither a whole head, trailers and other framing of a body, what follows a malformed
request, nor how long any of it takes.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from aiohttp import web
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.utils.clients.budget import (
    ClientBudget,
    CloseReason,
    Phase,
    Usage,
)
from ebonydeal._internal.utils.clients.unsent_bytes import UnsentBytes
from ebonydeal._internal.utils.early_listen import RECEIVE_BUFFER_BYTES
from ebonydeal._internal.utils.error_responses import error_response
from ebonydeal._internal.utils.written_answers import MAX_UNSENT_BYTES, write_out

logger = get_logger("clients")

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Bytes that one read from a connection returns, and that the library reads ahead of a
# body.
_READ_BYTES = 32_768
# Requests that are read ahead of the one being answered. Reading then pauses, and a
# client that leaves isn't noticed.
_MAX_READ_AHEAD = 4
# A head is held as bytes, as text, and in the forms that it is translated into; a part
# of one as bytes and text.
_HEAD_COPIES = 4
_PARTIAL_HEAD_COPIES = 2
# Bytes of framing for each byte of a body: chunks of one byte have six.
_MAX_FRAMING_RATIO = 8
# What a request line and a field have beyond their words.
_LINE_BYTES = 12
_FIELD_BYTES = 4
_MAX_DETAIL_CHARS = 200
# Time after which what a closed connection held counts as free.
_MAX_CLOSE_S = 0.5
# Between two checks of connections whose clients may take too long.
CHECK_INTERVAL_S = 1.0


class RequestLimits(NamedTuple):
    """Limits on each request and connection of a client.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Size of a request's head and of its body.
    head_timeout : float
        Time in which a head has to arrive, seconds.
    idle_timeout : float
        Time after which a connection without a request is closed, seconds.
    unread_timeout : float
        Time after which a connection is closed whose client takes no byte of an
        answer, seconds.
    """

    head_bytes: int
    body_bytes: int
    head_timeout: float
    idle_timeout: float
    unread_timeout: float


class ClientBounds(NamedTuple):
    """What bounds the connections of a listener; limits may change at any time."""

    budget: ClientBudget
    limits: Callable[[], RequestLimits]
    metrics: Metrics


class _OpenRequest(NamedTuple):
    """A request that isn't answered yet."""

    head_bytes: int
    payload: StreamReader

    @property
    def held(self) -> int:
        return _HEAD_COPIES * self.head_bytes + self.payload.total_bytes


class BoundedConnection(web.RequestHandler):
    """A connection of a client.

    Attributes
    ----------
    closed_for : str
        Why this process closed it before its requests were answered; else empty.
    """

    __slots__ = (
        "_answer_bytes",
        "_arrival_paused",
        "_bounds",
        "_counted_body",
        "_discards",
        "_framing",
        "_head_since",
        "_last_payload",
        "_noted_requests",
        "_open_requests",
        "_unsent",
        "_usage",
        "closed_for",
    )

    def __init__(
        self, manager: web.Server, bounds: ClientBounds | None, **options: Any
    ) -> None:
        if bounds is not None:
            options["read_bufsize"] = _READ_BYTES
        super().__init__(manager, **options)
        self._bounds = bounds
        self._usage: Usage | None = None
        self._open_requests: deque[_OpenRequest] = deque()
        # How many requests were noted, and the body of the last one.
        self._noted_requests = 0
        self._last_payload: StreamReader = EMPTY_PAYLOAD
        self._counted_body = 0
        # Bytes that arrived and belong to no complete head or body.
        self._framing = 0
        # When a head began to arrive that isn't complete.
        self._head_since: float | None = None
        self._answer_bytes = 0
        self._arrival_paused = False
        self._unsent = UnsentBytes()
        # Whether what arrives is dropped unread.
        self._discards = False
        self.closed_for = ""
        if bounds is not None:
            self._read_less_ahead(options)

    def _read_less_ahead(self, options: dict[str, Any]) -> None:
        """Replace the parser: how much the library reads ahead isn't an option."""
        self._max_msg_queue_size = _MAX_READ_AHEAD
        self._msg_queue_resume_size = _MAX_READ_AHEAD // 2
        self._parser = HttpRequestParser(
            self,
            self._loop,
            _READ_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=_MAX_READ_AHEAD,
        )

    # --- the connection ----------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to count what the connection holds."""
        super().connection_made(transport)
        if self._bounds is None:
            return
        # The default would let one read return several times as much.
        transport.max_size = _READ_BYTES  # type: ignore[attr-defined]
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._usage = self._bounds.budget.open(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget what it held."""
        if self._bounds is not None and self._usage is not None:
            self._bounds.budget.close(self._usage)
            self._usage = None
        super().connection_lost(exc)
        # Bodies refer to their connection: what it holds would stay until the garbage
        # collector runs, which goes by the number of objects, not their size.
        self._messages.clear()
        self._open_requests.clear()
        self._last_payload = EMPTY_PAYLOAD

    def phase(self) -> Phase:
        """Return whether it has no request, waits for its client, or is at work."""
        if self._unsent.size:
            return Phase.CLIENT
        if not self._open_requests:
            return Phase.IDLE
        arrived = self._open_requests[0].payload.is_eof()
        return Phase.AT_WORK if arrived else Phase.CLIENT

    def abandon(self, reason: CloseReason, freed: Callable[[], None]) -> None:
        """Close the connection, as all together hold too much."""
        assert self._bounds is not None
        self._bounds.metrics.count(Event.CLIENTS_CLOSED_FOR_ROOM)
        logger.warning(
            "Client closed for room.",
            reason=str(reason),
            phase=str(self.phase()),
            held=self._held(),
            open_requests=len(self._open_requests),
            connections=self._bounds.budget.connections,
            total=self._bounds.budget.total,
        )
        task = self._task_handler
        self._abort(f"closed for room: {reason}")
        if task is not None:
            task.add_done_callback(lambda _task: freed())
        # Others aren't read meanwhile, so a handler that goes on must not delay them.
        self._loop.call_later(_MAX_CLOSE_S, freed)

    def _abort(self, reason: str) -> None:
        """Close the connection, and drop what it holds."""
        self.closed_for = reason
        self._discards = True
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()
        if self._task_handler is not None:
            self._task_handler.cancel()

    def pause_arrival(self) -> None:
        """Read nothing from the client until `resume_arrival`."""
        self._arrival_paused = True
        self._pause_transport_reading()

    def resume_arrival(self) -> None:
        """Read from the client again, unless the library has paused it."""
        self._arrival_paused = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._arrival_paused:
            super()._resume_transport_reading()

    def check(self) -> None:
        """Close the connection if its client takes too long."""
        if self._bounds is None or self.transport is None or self._usage is None:
            return
        now, limits = self._bounds.budget.now(), self._bounds.limits()
        if self._head_since is not None:
            if now - self._head_since > limits.head_timeout:
                detail = f"the head took longer than {limits.head_timeout:g} s"
                self._refuse(ErrorKind.SLOW_SENDER, detail)
            return
        self._record_unsent(self.transport.get_write_buffer_size())
        if self._unsent.not_taken_s(now) > limits.unread_timeout:
            self._close_timed_out("answer not taken", limits.unread_timeout)
            return
        is_idle = self.phase() is Phase.IDLE and not self._messages
        if is_idle and now - self._usage.since > limits.idle_timeout:
            self._close_timed_out("idle", limits.idle_timeout)

    def _close_timed_out(self, reason: str, timeout: float) -> None:
        assert self._bounds is not None
        self._bounds.metrics.count(Event.CLIENTS_TIMED_OUT)
        logger.info(
            "Client timed out.", reason=reason, timeout_s=timeout, held=self._held()
        )
        self._abort(reason)

    # --- what arrives ------------------------------------------------------------
    def data_received(self, data: bytes) -> None:
        """Read some bytes; the library also calls this without any."""
        if self._bounds is None or self._usage is None:
            super().data_received(data)
            return
        if self._discards or self._close or self._force_close:
            return
        if data and self._head_since is None and self.phase() is Phase.IDLE:
            self._usage.since = self._bounds.budget.now()
        super().data_received(data)
        self._count_arrived(len(data))
        self._check_size()
        self._update()

    def _count_arrived(self, count: int) -> None:
        """Count what has arrived, of which ``count`` bytes are new."""
        self._framing += count
        was_complete = self._last_payload.is_eof()
        self._count_body()
        new = self._request_count - self._noted_requests
        self._noted_requests = self._request_count
        first = max(0, len(self._messages) - new)
        for index, (msg, payload) in enumerate(list(self._messages)[first:], first):
            if isinstance(msg, _ErrInfo):
                self._drop_rest(index, msg)
            else:
                self._note_request(index, msg, payload)
            if self._discards:
                break
        is_complete = self._last_payload.is_eof()
        if count and (new or is_complete != was_complete):
            # What follows a boundary came with this read, or is kept by the parser.
            self._framing = min(self._framing, count)
        self._framing = max(0, self._framing)
        if new or not (was_complete and is_complete):
            # What remains may be framing of the body that was just completed.
            self._head_since = None
        elif count and not self._open_requests and self._head_since is None:
            assert self._bounds is not None
            self._head_since = self._bounds.budget.now()

    def _note_request(
        self, index: int, msg: RawRequestMessage, payload: StreamReader
    ) -> None:
        assert self._bounds is not None
        head = _head_bytes(msg)
        self._framing -= head
        max_head = self._bounds.limits().head_bytes
        if head > max_head:
            detail = f"the head has {head} bytes; at most {max_head} are read"
            self._replace(index, ErrorKind.HEAD_TOO_LARGE, detail)
            return
        self._open_requests.append(_OpenRequest(head, payload))
        self._last_payload, self._counted_body = payload, 0
        self._count_body()

    def _count_body(self) -> None:
        body = self._last_payload.total_bytes
        self._framing -= body - self._counted_body
        self._counted_body = body

    def _check_size(self) -> None:
        """Refuse a head, or framing of a body, that has grown too large."""
        assert self._bounds is not None
        if self._discards:
            return
        max_bytes = self._bounds.limits().head_bytes + 2 * _READ_BYTES
        if self._last_payload.is_eof():
            if self._framing > max_bytes:
                detail = f"got {self._framing} bytes of a head; it has no end"
                self._refuse(ErrorKind.HEAD_TOO_LARGE, detail)
            return
        if self._framing > max_bytes + _MAX_FRAMING_RATIO * self._counted_body:
            self._discards = True
            detail = f"{self._framing} bytes of framing, {self._counted_body} of a body"
            self._last_payload.set_exception(web.RequestPayloadError(detail))

    def _refuse(self, kind: ErrorKind, detail: str) -> None:
        """Answer what is arriving with an error, after the requests before it."""
        self._messages.append((_refusal(kind, detail), EMPTY_PAYLOAD))
        self._drop_rest(len(self._messages) - 1)
        self._head_since = None
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _replace(self, index: int, kind: ErrorKind, detail: str) -> None:
        """Answer a request with an error, and read no further."""
        self._messages[index] = (_refusal(kind, detail), EMPTY_PAYLOAD)
        self._drop_rest(index)

    def _drop_rest(self, index: int, error: _ErrInfo | None = None) -> None:
        """Drop all that follows an error: the connection ends with its answer."""
        if error is not None:
            # The library's error refers to all that was read with it.
            detail = error.message[:_MAX_DETAIL_CHARS]
            refusal = _refusal(ErrorKind.BAD_REQUEST, detail)
            self._messages[index] = (refusal, EMPTY_PAYLOAD)
        while len(self._messages) > index + 1:
            self._messages.pop()
        self._discards = True
        self._framing = 0
        if not self._last_payload.is_eof():
            # Whoever reads this body would wait for its end.
            detail = "the rest of the body can't be read"
            self._last_payload.set_exception(web.RequestPayloadError(detail))
        self._last_payload = EMPTY_PAYLOAD

    def discard_rest(self) -> None:
        """Drop what else arrives; the connection is closed soon."""
        self._discards = True

    # --- what is held ------------------------------------------------------------
    def _held(self) -> int:
        return (
            _PARTIAL_HEAD_COPIES * self._framing
            + sum(req.held for req in self._open_requests)
            + (RECEIVE_BUFFER_BYTES if self._may_have_unread else 0)
            + self._answer_bytes
            + self._unsent.size
        )

    @property
    def _may_have_unread(self) -> bool:
        """Whether the system's buffer may hold bytes that weren't read."""
        if self._reading_paused or self._buffer_paused:
            return True
        return self._head_since is not None or not self._last_payload.is_eof()

    def _update(self) -> None:
        if self._bounds is not None and self._usage is not None:
            self._bounds.budget.resize(self._usage, self._held())

    def hold_answer(self, size: int) -> None:
        """Count the bytes of the current request's answer."""
        self._answer_bytes = size
        self._update()

    def pause_writing(self) -> None:
        """Count what the client doesn't take."""
        super().pause_writing()
        if self.transport is not None:
            self._record_unsent(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Note that the client has taken most of it."""
        super().resume_writing()
        self._record_unsent(0)

    def _record_unsent(self, size: int) -> None:
        if self._bounds is not None:
            self._unsent.record(size, self._bounds.budget.now())
            self._update()

    def accept(self, copies: int = 1) -> None:
        """Accept the current request, whose body has arrived; raises MEMORY_SHORT.

        ``copies`` is how many times the bytes of the request its handler holds.
        """
        if self._bounds is None or self._usage is None or not self._open_requests:
            return
        held = self._open_requests[0].held * copies
        if not self._bounds.budget.accept(self._usage, held):
            total = self._bounds.budget.total
            detail = f"{held} bytes don't fit beside {total} bytes of other clients"
            raise EbonydealError(ErrorKind.MEMORY_SHORT, detail)

    def request_done(self) -> None:
        """Note that the oldest request was answered, or given up."""
        if self._open_requests:
            done = self._open_requests.popleft()
            is_too_long = (
                self._bounds is not None
                and done.payload.total_bytes > self._bounds.limits().body_bytes
            )
            if is_too_long and not done.payload.is_eof():
                self.discard_rest()
        self._answer_bytes = 0
        if self._bounds is not None and self._usage is not None:
            self._bounds.budget.finish(self._usage)
            self._usage.since = self._bounds.budget.now()
        self._update()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request that can't be read."""
        match exc:
            case EbonydealError() if self._bounds is not None:
                self._bounds.metrics.count_refusal(exc.kind)
                logger.info("Refused.", kind=str(exc.kind), detail=exc.detail)
                resp = error_response(exc)
                resp.force_close()
                return resp
        return super().handle_error(request, status, exc, message)


def _refusal(kind: ErrorKind, detail: str) -> _ErrInfo:
    error = EbonydealError(kind, detail)
    return _ErrInfo(error.response.status, error, detail)


def _head_bytes(msg: RawRequestMessage) -> int:
    """Return the size of a request's head as it was sent."""
    fields = sum(
        len(name) + len(value) + _FIELD_BYTES for name, value in msg.raw_headers
    )
    return len(msg.method) + len(msg.path) + _LINE_BYTES + fields


class BoundedServer(web.Server):
    """The connections of a listener.

    Parameters
    ----------
    handler : callable
        Answers each request.
    bounds : ClientBounds or None
        None for a listener that no client reaches.
    **options
        As of `aiohttp.web.Server`.
    """

    def __init__(
        self, handler: Handler, bounds: ClientBounds | None, **options: Any
    ) -> None:
        super().__init__(self._answer, **options)
        self._answer_request = handler
        self._bounds = bounds

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return BoundedConnection(self, self._bounds, loop=self._loop, **self._kwargs)

    async def _answer(self, http_req: web.BaseRequest) -> web.StreamResponse:
        conn = http_req.protocol
        assert isinstance(conn, BoundedConnection)
        try:
            resp = await self._answer_request(http_req)
            if isinstance(resp, web.Response) and isinstance(resp.body, bytes):
                conn.hold_answer(len(resp.body))
            await write_out(http_req, resp)
            return resp
        finally:
            conn.request_done()

    def check_connections(self) -> None:
        """Close connections whose clients take too long."""
        for conn in list(self._connections):
            if isinstance(conn, BoundedConnection):
                conn.check()
