"""Listeners of the relay: clients, the balancer, and other relays."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from aiohttp import web

from ebonydeal._internal.utils.early_listen import LISTEN_BACKLOG, find_listener
from ebonydeal._internal.utils.supervised import SupervisedService

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Far above the idle time that operators allow clients, so that the client always closes
# the connection, and no request arrives while this side closes it.
_KEEPALIVE_TIMEOUT_S = 300.0
_MAX_FIELD_BYTES = 32768
_LINGER_TIMEOUT_S = 2.0
# Connections that are still open at the stop had their time to drain.
_CLOSE_TIMEOUT_S = 0.01


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
    """

    def __init__(
        self,
        handler: Handler,
        address: str,
        opened: Sequence[int] = (),
        decompresses: bool = False,
    ) -> None:
        super().__init__()
        self._opened_socket = find_listener(opened, address)
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
            keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
            lingering_time=_LINGER_TIMEOUT_S,
            max_line_size=_MAX_FIELD_BYTES,
            max_field_size=_MAX_FIELD_BYTES,
            auto_decompress=self._decompresses,
        )
        loop = asyncio.get_running_loop()
        if self._opened_socket is not None:
            self._socket = await loop.create_server(
                self._server, sock=self._opened_socket, backlog=LISTEN_BACKLOG
            )
        else:
            self._socket = await loop.create_server(
                self._server,
                self.host,
                self.port,
                backlog=LISTEN_BACKLOG,
                reuse_address=True,
            )
        self.port = self._socket.sockets[0].getsockname()[1]

    def close_gracefully(self) -> None:
        """Accept no more connections, and read no more requests.

        Requests already read are answered. Idle connections stay open, but aren't read,
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
            # Not zero, which the library takes for no time limit.
            await self._server.shutdown(_CLOSE_TIMEOUT_S)
