import pytest
from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import (
    Delete,
    FieldEquals,
    Put,
    Row,
    RowAbsent,
    RowVersion,
)
from ebonydeal._internal.outside.objects import HttpObjects
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.standin.faults import Fault
from ebonydeal._internal.standin.server import StandinServer
from ebonydeal._internal.standin.stores import ObjectsServer, TablesServer
from tests.lib.fakes_endpoints import running


async def error_kind(call) -> ErrorKind:
    with pytest.raises(EbonydealError) as caught:
        await call
    return caught.value.kind


class TestTablesOverHttp:
    async def test_each_kind_of_condition_and_write(self):
        async with running(TablesServer()) as server:
            tables = HttpTables(server.url, 2.0)
            row = {"epoch": 3, "deep": {"list": [1, None, "é"]}}
            assert await tables.transact([RowAbsent("a b/ü")], [Put("a b/ü", row)])
            assert not await tables.transact([RowAbsent("a b/ü")], [Delete("a b/ü")])
            assert not await tables.transact([RowVersion("a b/ü", 2)], [])
            conditions = [RowVersion("a b/ü", 1), FieldEquals("a b/ü", "epoch", 3)]
            assert await tables.transact(conditions, [Put("c", {})])
            assert await tables.get("a b/ü") == Row("a b/ü", row, 1)
            assert await tables.get("none") is None
            assert [item.key for item in await tables.scan("")] == ["a b/ü", "c"]
            assert [item.key for item in await tables.scan("", "b", 1)] == ["c"]
            assert await tables.transact([], [Delete("c")])
            assert await tables.get("c") is None
            await tables.close()

    async def test_refused_write_has_no_effect(self):
        async with running(TablesServer()) as server:
            tables = HttpTables(server.url, 2.0)
            server.tables.faults.writes.append(Fault.REFUSED)
            kind = await error_kind(tables.transact([], [Put("a", {})]))
            assert kind is ErrorKind.STORE_UNAVAILABLE
            assert await tables.get("a") is None
            await tables.close()

    async def test_lost_response_is_in_doubt_and_not_retried(self):
        async with running(TablesServer()) as server:
            tables = HttpTables(server.url, 2.0)
            await tables.get("warm the connection")
            server.tables.faults.writes.append(Fault.LOST_ANSWER)
            kind = await error_kind(tables.transact([], [Put("a", {})]))
            assert kind is ErrorKind.STORE_IN_DOUBT
            assert await tables.get("a") == Row("a", {}, 1)
            assert server.tables.writes == 1
            await tables.close()

    async def test_timed_out_write_is_in_doubt_but_a_read_is_not(self):
        async with running(TablesServer()) as server:
            tables = HttpTables(server.url, 0.05)
            server.tables.faults.delay = 30.0
            kind = await error_kind(tables.transact([], [Put("a", {})]))
            assert kind is ErrorKind.STORE_IN_DOUBT
            assert await error_kind(tables.get("a")) is ErrorKind.STORE_UNAVAILABLE
            await tables.close()

    async def test_closed_port_is_unavailable(self):
        server = TablesServer()
        await server.start()
        url = server.url
        await server.stop()
        tables = HttpTables(url, 2.0)
        kind = await error_kind(tables.transact([], [Put("a", {})]))
        assert kind is ErrorKind.STORE_UNAVAILABLE
        assert await error_kind(tables.scan("a")) is ErrorKind.STORE_UNAVAILABLE
        await tables.close()

    @pytest.mark.parametrize(
        ("status", "text", "kind"),
        [
            (200, "no json", ErrorKind.STORE_IN_DOUBT),
            (200, "[]", ErrorKind.STORE_IN_DOUBT),
            (200, '{"applied": 1}', ErrorKind.STORE_IN_DOUBT),
            (500, "{}", ErrorKind.STORE_IN_DOUBT),
            (502, "{}", ErrorKind.STORE_IN_DOUBT),
            (302, "{}", ErrorKind.STORE_IN_DOUBT),
            (429, "{}", ErrorKind.STORE_UNAVAILABLE),
            (503, "{}", ErrorKind.STORE_UNAVAILABLE),
            (400, "{}", ErrorKind.BAD_REQUEST),
        ],
    )
    async def test_unexpected_response_maps_to_its_error_kind(self, status, text, kind):
        async def answer(_req):
            return web.Response(status=status, text=text)

        app = web.Application()
        app.router.add_post("/v1/transact", answer)
        async with running(StandinServer(app)) as server:
            tables = HttpTables(f"http://{server.address}", 2.0)
            assert await error_kind(tables.transact([], [])) is kind
            await tables.close()

    async def test_operations_over_the_rate_are_refused(self):
        async with running(TablesServer(writes_per_s=2)) as server:
            tables = HttpTables(server.url, 2.0)
            assert await tables.transact([], [Put("a", {})])
            assert await tables.transact([], [Put("b", {})])
            kind = await error_kind(tables.transact([], [Put("c", {})]))
            assert kind is ErrorKind.STORE_UNAVAILABLE
            assert server.tables.writes == 2
            await tables.close()


class TestObjectsOverHttp:
    @pytest.mark.parametrize("name", ["a", "b/c d", "50%/ü?#&+x"])
    async def test_put_get_delete(self, name):
        async with running(ObjectsServer()) as server:
            objects = HttpObjects(server.url, 2.0)
            data = bytes(range(256)) * 1000
            await objects.put(name, data)
            assert server.objects.data == {name: data}
            assert await objects.get(name) == data
            assert await objects.names(name[:1]) == [name]
            assert await objects.names("zzz") == []
            await objects.delete(name)
            await objects.delete(name)
            assert await objects.get(name) is None
            await objects.close()

    async def test_put_with_a_lost_response_is_not_retried(self):
        async with running(ObjectsServer()) as server:
            objects = HttpObjects(server.url, 2.0)
            await objects.names("warm the connection")
            server.objects.faults.writes.append(Fault.LOST_ANSWER)
            kind = await error_kind(objects.put("a", b"x"))
            assert kind is ErrorKind.STORE_IN_DOUBT
            assert server.objects.writes == 1
            await objects.close()
