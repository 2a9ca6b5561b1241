"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
from enum import StrEnum

from ebonydeal._internal.soak.link_cuts import CutMode, LinkCuts
from ebonydeal._internal.utils.linger import set_reset_on_close

_MAX_CHUNK_BYTES = 65536


class LinkFault(StrEnum):
    """Faults that a proxy injects."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    NO_RESPONSES = "no answers"


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; a process that ends closes its connections instead."""
    set_reset_on_close(writer.transport, True)
    writer.transport.abort()


class Proxy:
    """Forwards connections to one address with the fault that is set.

    Parameters
    ----------
    target : str
        ``host:port``.
    delay : float
        Seconds by which `LinkFault.DELAY` delays each chunk.
    cuts : LinkCuts, optional
        Cuts of single sources from this proxy.
    host : str
        Address to listen on.
    """

    def __init__(
        self,
        target: str,
        delay: float = 0.15,
        cuts: LinkCuts | None = None,
        host: str = "127.0.0.1",
    ) -> None:
        self._listen_host = host
        self._cuts = cuts or LinkCuts()
        self._cuts.on_change.add(self._cut_changed)
        # The source of each connection, by both of its writers.
        self._sources: dict[asyncio.StreamWriter, str] = {}
        # Set, and replaced, whenever a cut begins or ends.
        self._not_cut = asyncio.Event()
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
        self._server = await asyncio.start_server(self._serve, self._listen_host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._listen_host}:{port}"
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
                _reset(writer)

    def silence_open_connections(self) -> None:
        """Deliver nothing more on open connections; new ones work."""
        self._silenced |= self._writers

    def _cut_changed(self, source: str, mode: CutMode | None) -> None:
        """Reset a source's open connections, or let them go on."""
        if mode is CutMode.RESET:
            for writer, of in list(self._sources.items()):
                if of == source:
                    _reset(writer)
        self._not_cut.set()
        self._not_cut = asyncio.Event()

    async def _wait_uncut(self, source: str) -> None:
        """Wait until a source's open connections deliver data."""
        while self._cuts.mode(source) is CutMode.SILENT and not self._stopped:
            await self._not_cut.wait()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault is LinkFault.RESET:
            _reset(writer)
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
        source = str(writer.get_extra_info("peername")[0])
        self._writers |= {writer, upstream_writer}
        self._sources |= {writer: source, upstream_writer: source}
        try:
            await asyncio.gather(
                self._forward(reader, upstream_writer, source, is_answer=False),
                self._forward(upstream_reader, writer, source, is_answer=True),
            )
        finally:
            upstream_writer.transport.abort()
            self._writers -= {writer, upstream_writer}
            self._silenced -= {writer, upstream_writer}
            del self._sources[writer], self._sources[upstream_writer]

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        is_answer: bool,
    ) -> None:
        """Forward one direction; close the connection at its end or a reset."""
        try:
            while data := await reader.read(_MAX_CHUNK_BYTES):
                if self._fault is LinkFault.DELAY:
                    await asyncio.sleep(self._delay)
                if is_answer or self._fault is not LinkFault.NO_RESPONSES:
                    await self._not_stalled.wait()
                await self._wait_uncut(source)
                if writer in self._silenced:
                    continue
                writer.write(data)
                await writer.drain()
            # The end of a silent connection isn't delivered, either.
            if writer not in self._silenced:
                writer.close()
        except OSError:
            _reset(writer)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._stopped = True
        self._cuts.on_change.discard(self._cut_changed)
        self._not_stalled.set()
        self._not_cut.set()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
