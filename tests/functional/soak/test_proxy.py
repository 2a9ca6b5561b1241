import asyncio
from contextlib import asynccontextmanager

import pytest

from ebonydeal._internal.soak.proxy import Harm, Proxy


async def _echo(reader, writer):
    try:
        while data := await reader.read(100):
            writer.write(data)
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


@asynccontextmanager
async def through():
    """Yield a proxy before an echo, and an open connection through it."""
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    proxy = await Proxy(f"127.0.0.1:{port}").start()
    host, _sep, port = proxy.address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield proxy, reader, writer
    finally:
        writer.close()
        await proxy.stop()
        server.close()


class TestHarm:
    async def test_none_and_delay_pass_all(self):
        async with through() as (proxy, reader, writer):
            writer.write(b"one")
            assert await reader.readexactly(3) == b"one"
            proxy.harm(Harm.DELAY)
            writer.write(b"two")
            assert await reader.readexactly(3) == b"two"

    async def test_reset_ends_open_and_new_connections(self):
        async with through() as (proxy, reader, writer):
            writer.write(b"one")
            await reader.readexactly(3)
            proxy.harm(Harm.RESET)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)
            host, _sep, port = proxy.address.partition(":")
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                again, _writer = await asyncio.open_connection(host, int(port))
                await again.readexactly(1)

    @pytest.mark.parametrize("harm", [Harm.SILENT, Harm.NO_ANSWERS])
    async def test_silence_keeps_bytes_until_it_ends(self, harm):
        async with through() as (proxy, reader, writer):
            proxy.harm(harm)
            writer.write(b"late")
            read = asyncio.create_task(reader.readexactly(4))
            await asyncio.sleep(0.1)
            assert not read.done()
            proxy.harm(Harm.NONE)
            assert await read == b"late"
