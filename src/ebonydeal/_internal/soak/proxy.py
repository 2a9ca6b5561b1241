"""A loopback TCP proxy that harms what passes through it."""

import asyncio
from enum import StrEnum

_SLICE = 65536


class Harm(StrEnum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    NO_ANSWERS = "no answers"


class Proxy:
    """Passes connections on to one address, harmed as ``harm`` says.

    Parameters
    ----------
    target : str
        ``host:port``.
    delay : float
        Seconds for which `Harm.DELAY` holds each piece back.
    """

    def __init__(self, target: str, delay: float = 0.15) -> None:
        self._host, _sep, port = target.rpartition(":")
        self._port = int(port)
        self._delay = delay
        self._harm = Harm.NONE
        self._calm = asyncio.Event()
        self._calm.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> "Proxy":
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    def harm(self, harm: Harm) -> None:
        """Harm connections, those that are open and new ones, from now on."""
        self._harm = harm
        if harm in (Harm.SILENT, Harm.NO_ANSWERS):
            self._calm.clear()
        else:
            self._calm.set()
        if harm is Harm.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            back, there = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, there}
        try:
            await asyncio.gather(
                self._pass(reader, there, answers=False),
                self._pass(back, writer, answers=True),
            )
        finally:
            self._writers -= {writer, there}

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        """Pass one direction on; its end, or a reset, ends the connection."""
        try:
            while data := await reader.read(_SLICE):
                if self._harm is Harm.DELAY:
                    await asyncio.sleep(self._delay)
                if answers or self._harm is not Harm.NO_ANSWERS:
                    await self._calm.wait()
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

    async def stop(self) -> None:
        """Close everything."""
        self._calm.set()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
