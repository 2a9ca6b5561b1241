"""Listeners of the relay: clients, the balancer, and other relays."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from aiohttp import web
from mode import Service

from ebonydeal._internal.utils.earlybind import BACKLOG, early_socket

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Far above what operators let clients be idle, so that it is always the client
# who closes, and no request crosses our close.
_KEEPALIVE_S = 300.0
_MAX_FIELD = 32768
_LINGER_S = 2.0
# What is still open at the end has had its time.
_CLOSE_S = 0.01


class RawListener(Service):
    """Owns one listening socket and its connections.

    Parameters
    ----------
    handler : callable
        Answers each request.
    address : str
        ``host:port``; port 0 picks a free one, then read `port`.
    opened : sequence of int
        Sockets that listen already; the one on ``address`` is taken over.
    decompresses : bool
        Whether handlers get bodies decompressed. Clients' pass as they are.
    """

    def __init__(
        self,
        handler: Handler,
        address: str,
        opened: Sequence[int] = (),
        decompresses: bool = False,
    ) -> None:
        super().__init__()
        self._early = early_socket(opened, address)
        host, _sep, port = address.rpartition(":")
        self.host = host
        self.port = int(port)
        self._handler = handler
        self._decompresses = decompresses
        self._server: web.Server | None = None
        self._socket: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Bind the socket."""
        self._server = web.Server(
            self._handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=_KEEPALIVE_S,
            lingering_time=_LINGER_S,
            max_line_size=_MAX_FIELD,
            max_field_size=_MAX_FIELD,
            auto_decompress=self._decompresses,
        )
        loop = asyncio.get_running_loop()
        if self._early is not None:
            self._socket = await loop.create_server(
                self._server, sock=self._early, backlog=BACKLOG
            )
        else:
            self._socket = await loop.create_server(
                self._server, self.host, self.port, backlog=BACKLOG, reuse_address=True
            )
        self.port = self._socket.sockets[0].getsockname()[1]

    def close_gracefully(self) -> None:
        """Take no connection and read no request any more.

        What was read already is answered. Idle connections stay open unread
        until the stop, which must follow at once.
        """
        if self._socket is not None:
            self._socket.close()
        if self._server is not None:
            self._server.pre_shutdown()

    async def on_stop(self) -> None:
        """Close the socket and what is still open."""
        if self._socket is not None:
            self._socket.close()
        if self._server is not None:
            # Not zero: the library takes that for no limit at all.
            await self._server.shutdown(_CLOSE_S)
