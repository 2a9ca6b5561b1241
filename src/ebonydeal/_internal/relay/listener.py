"""Listeners of the relay: clients, the balancer, and other relays."""

import asyncio
from collections.abc import Sequence
from typing import Any

from aiohttp import web

from ebonydeal._internal.utils.clients.connection import (
    CHECK_INTERVAL_S,
    BoundedConnection,
    BoundedServer,
    ClientBounds,
    Handler,
)
from ebonydeal._internal.utils.clients.listening import listen
from ebonydeal._internal.utils.early_listen import bind_listener, find_listener
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

# Far above the idle time that operators allow clients, so that the client always closes
# the connection, and no request arrives while this side closes it.
_KEEPALIVE_TIMEOUT_S = 300.0
_MAX_FIELD_BYTES = 32768
_LINGER_TIMEOUT_S = 2.0
# Connections that are still open at the stop had their time to drain.
_CLOSE_TIMEOUT_S = 0.01


class _Connection(BoundedConnection):
    """A connection that notes when a request begins to arrive on it."""

    __slots__ = ("_server",)

    def __init__(
        self, server: "_Server", bounds: ClientBounds | None, **options: Any
    ) -> None:
        super().__init__(server, bounds, **options)
        self._server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read, unless the relay is about to end."""
        super().connection_made(transport)
        if not self._server.reads and self.transport is not None:
            # A request that is passed on now would be cut off without an answer.
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Read some bytes; the library also calls this without any."""
        if data and self._server.reads:
            self._server.with_request.add(self)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection's request."""
        self._server.with_request.discard(self)
        super().connection_lost(exc)


class _Server(BoundedServer):
    """Connections of a listener.

    Attributes
    ----------
    with_request : set of _Connection
        Those with a request that is not done: from its first byte to the last byte of
        its answer, or to the loss of the connection.
    reads : bool
        Whether requests are still read.
    """

    def __init__(
        self, handler: Handler, bounds: ClientBounds | None, **options: Any
    ) -> None:
        super().__init__(handler, bounds, **options)
        self.with_request: set[web.RequestHandler] = set()
        self.reads = True

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return _Connection(self, self._bounds, loop=self._loop, **self._kwargs)

    async def _answer(self, http_req: web.BaseRequest) -> web.StreamResponse:
        if http_req.transport is not None:
            # It may have arrived together with the request before it.
            self.with_request.add(http_req.protocol)
        resp = await super()._answer(http_req)
        if resp.keep_alive:
            self.with_request.discard(http_req.protocol)
        # Else the connection is closed once the rest of the request's body was read.
        return resp

    def stop_reading(self) -> None:
        """Read no more requests; those already read are answered."""
        self.reads = False
        self.pre_shutdown()


class RawListener(SupervisedService):
    """Owns one listening socket and its connections.

    Parameters
    ----------
    handler : callable
        Answers each request.
    address : str
        ``host:port``; port 0 picks a free one, then read `port`.
    opened : sequence of int
        Sockets that already listen; the one on ``address`` is used.
    decompresses : bool
        Whether bodies are decompressed for the handler; clients' bodies are not.
    bounds : ClientBounds, optional
        Bounds on what clients hold, for a listener that they reach.
    """

    def __init__(
        self,
        handler: Handler,
        address: str,
        opened: Sequence[int] = (),
        decompresses: bool = False,
        bounds: ClientBounds | None = None,
    ) -> None:
        super().__init__()
        self._bounds = bounds
        self._opened_socket = find_listener(opened, address)
        host, _sep, port = address.rpartition(":")
        self.host = host
        self.port = int(port)
        self._handler = handler
        self._decompresses = decompresses
        self._server: _Server | None = None
        self._socket: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Bind the socket."""
        self._server = _Server(
            self._handler,
            self._bounds,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
            lingering_time=_LINGER_TIMEOUT_S,
            max_line_size=_MAX_FIELD_BYTES,
            max_field_size=_MAX_FIELD_BYTES,
            auto_decompress=self._decompresses,
        )
        sock = self._opened_socket or bind_listener(
            self.host, self.port, for_clients=self._bounds is not None
        )
        self._socket = await listen(self._server, sock)
        self.port = sock.getsockname()[1]

    @supervised_task
    async def _check_connections(self) -> None:
        """Close connections whose clients take too long."""
        while self._bounds is not None and not self.should_stop:
            await self.sleep(CHECK_INTERVAL_S)
            if self._server is not None:
                self._server.check_connections()

    @property
    def open_requests(self) -> int:
        """Requests that aren't done.

        One is done with the last byte of its answer or the loss of its connection.
        """
        return 0 if self._server is None else len(self._server.with_request)

    def close_gracefully(self) -> None:
        """Accept no more connections, and read no more requests.

        Requests already read are answered. Idle connections stay open, but aren't read,
        until the stop, which must follow at once.
        """
        if self._socket is not None:
            self._socket.close()
        if self._server is not None:
            self._server.stop_reading()

    async def on_stop(self) -> None:
        """Close the socket and what is still open."""
        if self._socket is not None:
            self._socket.close()
        if self._server is not None:
            # Not zero, which the library takes for no time limit.
            await self._server.shutdown(_CLOSE_TIMEOUT_S)
