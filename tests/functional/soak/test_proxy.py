import asyncio
from contextlib import asynccontextmanager

import pytest

from ebonydeal._internal.soak.proxy import LinkFault, Proxy


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
async def connection_through_proxy():
    """Yield a proxy of an echo server and an open connection through it."""
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


class TestLinkFault:
    async def test_none_and_delay_forward_all_data(self):
        async with connection_through_proxy() as (proxy, reader, writer):
            writer.write(b"one")
            assert await reader.readexactly(3) == b"one"
            proxy.set_fault(LinkFault.DELAY)
            writer.write(b"two")
            assert await reader.readexactly(3) == b"two"

    async def test_reset_closes_open_and_new_connections(self):
        async with connection_through_proxy() as (proxy, reader, writer):
            writer.write(b"one")
            await reader.readexactly(3)
            proxy.set_fault(LinkFault.RESET)
            # Not a close, which may be the end of an answer without a length.
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(1)
            host, _sep, port = proxy.address.partition(":")
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                again, _writer = await asyncio.open_connection(host, int(port))
                await again.readexactly(1)

    @pytest.mark.parametrize("fault", [LinkFault.SILENT, LinkFault.NO_RESPONSES])
    async def test_silence_holds_data_back_until_it_ends(self, fault):
        async with connection_through_proxy() as (proxy, reader, writer):
            proxy.set_fault(fault)
            writer.write(b"late")
            read = asyncio.create_task(reader.readexactly(4))
            await asyncio.sleep(0.1)
            assert not read.done()
            proxy.set_fault(LinkFault.NONE)
            assert await read == b"late"


class TestSilentConnections:
    async def test_open_ones_deliver_nothing_more_and_new_ones_work(self):
        async with connection_through_proxy() as (proxy, reader, writer):
            writer.write(b"one")
            assert await reader.readexactly(3) == b"one"
            proxy.silence_open_connections()
            writer.write(b"two")
            host, _sep, port = proxy.address.partition(":")
            new_reader, new_writer = await asyncio.open_connection(host, int(port))
            new_writer.write(b"new")
            assert await new_reader.readexactly(3) == b"new"
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await reader.readexactly(1)
            new_writer.close()

    async def test_the_end_of_an_open_one_is_not_delivered(self):
        async with connection_through_proxy() as (proxy, reader, writer):
            writer.write(b"one")
            assert await reader.readexactly(3) == b"one"
            # Only the way to the client is silent.
            proxy._silenced = {w for w in proxy._writers if _leads_to(w, writer)}
            writer.write_eof()
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await reader.read()


def _leads_to(other, writer):
    return other.get_extra_info("peername") == writer.get_extra_info("sockname")


class TestStop:
    async def test_closes_a_connection_that_is_being_set_up(self, monkeypatch):
        async with connection_through_proxy() as (proxy, _reader, _writer):
            connect, may_connect = asyncio.open_connection, asyncio.Event()
            connecting = asyncio.Event()

            async def connect_later(*address):
                connecting.set()
                await may_connect.wait()
                return await connect(*address)

            host, _sep, port = proxy.address.partition(":")
            monkeypatch.setattr(asyncio, "open_connection", connect_later)
            reader, writer = await connect(host, int(port))
            writer.write(b"one")
            await connecting.wait()
            await proxy.stop()
            may_connect.set()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(3)
