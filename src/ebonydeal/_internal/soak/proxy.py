"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
from enum import StrEnum

_MAX_CHUNK_BYTES = 65536


class LinkFault(StrEnum):
    """Faults that a proxy injects."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    NO_RESPONSES = "no answers"


class Proxy:
    """Forwards connections to one address with the fault that is set.

    Parameters
    ----------
    target : str
        ``host:port``.
    delay : float
        Seconds by which `LinkFault.DELAY` delays each chunk.
    """

    def __init__(self, target: str, delay: float = 0.15) -> None:
        self._host, _sep, port = target.rpartition(":")
        self._port = int(port)
        self._delay = delay
        self._fault = LinkFault.NONE
        self._not_stalled = asyncio.Event()
        self._not_stalled.set()
        self._writers: set[asyncio.StreamWriter] = set()
        # Writers of connections that have fallen silent.
        self._silenced: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._stopped = False
        self.address = ""

    async def start(self) -> "Proxy":
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    def set_fault(self, fault: LinkFault) -> None:
        """Set the fault of open and new connections."""
        self._fault = fault
        if fault in (LinkFault.SILENT, LinkFault.NO_RESPONSES):
            self._not_stalled.clear()
        else:
            self._not_stalled.set()
        if fault is LinkFault.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def silence_open_connections(self) -> None:
        """Deliver nothing more on open connections; new ones work."""
        self._silenced |= self._writers

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault is LinkFault.RESET:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.transport.abort()
            return
        if self._stopped:
            writer.transport.abort()
            upstream_writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        try:
            await asyncio.gather(
                self._forward(reader, upstream_writer, is_answer=False),
                self._forward(upstream_reader, writer, is_answer=True),
            )
        finally:
            self._writers -= {writer, upstream_writer}
            self._silenced -= {writer, upstream_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        """Forward one direction; close the connection at its end or a reset."""
        try:
            while data := await reader.read(_MAX_CHUNK_BYTES):
                if self._fault is LinkFault.DELAY:
                    await asyncio.sleep(self._delay)
                if is_answer or self._fault is not LinkFault.NO_RESPONSES:
                    await self._not_stalled.wait()
                if writer in self._silenced:
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._stopped = True
        self._not_stalled.set()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
