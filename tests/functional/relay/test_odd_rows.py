"""Rows that another writer has left in the store stop no relay."""

import asyncio
import json

import pytest

from ebonydeal._internal.observe.counters import Event
from ebonydeal._internal.relay.packed_row import pack
from tests.lib.raw_endpoints import RawEndpoint, answer
from tests.lib.relay_fakes import MemoryStore, ask, running, until

DEEP = b"[" * 100_000
DIGITS = b"9" * 5_000
# Values by which rows may be odd; `{}` stands where a field's value is expected.
DOCUMENTS = [
    b"",
    b"\xff\x00",
    b"null",
    b"[]",
    b'"text"',
    b"1e999",
    b"NaN",
    DIGITS,
    DEEP,
    b'{"version": %b}' % DIGITS,
    b'{"version": 1e999, "routes": [1], "services": 3}',
    b'{"version": 10, "routes": [{"timeout_ms": 1e999}]}',
    b'{"version": 10, "services": [{"name": {}, "autoscale": 7}]}',
    b'{"service": "s", "to": %b, "duration_s": %b}' % (DIGITS, DIGITS),
    b'{"service": "s", "to": "v\\ud800", "duration_s": NaN}',
    b'{"state": [], "to": {}}',
]
PACKED = [
    pack(message)
    for message in (
        None,
        [],
        "text",
        {"s": 1},
        {"s": [[1]]},
        {"s": {"a": {"b": [1e308 * 10]}}},
        {"relays": 3, "records": [{}], "orders": {"s": 1}, "windows": "x"},
        {"n0": {"353445120": 1}, "n1": [2]},
        {"n0": {"x": {"acme": "many"}}},
        {"\ud800": ["\ud800"]},
    )
]
# The tables of the system itself, and the keys of their rows.
OWN_ROWS = {
    "ebonydeal-shares": ["names", "startup"],
    "ebonydeal-rollouts": ["memory"],
    "ebonydeal-lease": ["duties"],
    "ebonydeal-usage": ["open", "reported", "000359292579"],
    "ebonydeal-crashes": ["memory"],
    "ebonydeal-versions": ["services"],
}
# A field's odd values: control characters, half of a character, a line's end.
TEXTS = ["a\u0000b", "a\r\nb", "\ud800", "a\u2028b", "a\u001b[0m"]


def entry(address, **fields):
    return json.dumps(
        {
            "service": "s",
            "address": address,
            "zone": "z",
            "max_slots": 8,
            "state": "ready",
            **fields,
        }
    ).encode()


async def put_all(store, table, key, values):
    for value in values:
        await store.put(table, key, value)
        await asyncio.sleep(0.001)


async def learns_of_an_endpoint(program, store):
    """Return whether the relay still follows the list and serves."""
    late = await RawEndpoint("late", [answer()] * 50).start()
    await store.put("servers", "late", late.row())
    await until(lambda: "late" in program.view.members)
    status, _headers, _body = await ask(program, "/safe/")
    await late.stop()
    return status == 200


def failed_tasks(program):
    return program._metrics.events().get(Event.TASKS_FAILED, 0)


class TestOddRow:
    @pytest.mark.parametrize(
        ("table", "key"),
        [
            ("op", "config"),
            ("op", "rollout/s"),
            ("op", "rollout/"),
            ("op", "\ud800"),
            ("servers", "i9"),
            ("status", "rollout/s"),
        ],
    )
    async def test_of_the_operator_or_an_endpoint_is_left_out(self, table, key):
        async with running(RawEndpoint("i1", [answer()] * 50)) as (program, store):
            await put_all(store, table, key, DOCUMENTS)
            assert await learns_of_an_endpoint(program, store)
            assert failed_tasks(program) == 0

    @pytest.mark.parametrize("table", OWN_ROWS)
    async def test_of_the_system_itself_is_left_out(self, table):
        async with running(RawEndpoint("i1", [answer()] * 50)) as (program, store):
            for key in [*OWN_ROWS[table], "odd"]:
                await put_all(store, table, key, [*DOCUMENTS, *PACKED])
            assert await learns_of_an_endpoint(program, store)
            assert failed_tasks(program) == 0

    @pytest.mark.parametrize("value", [*DOCUMENTS, *PACKED], ids=range(26))
    async def test_of_the_system_itself_is_left_out_at_a_start(self, value):
        store = MemoryStore()
        for table, keys in OWN_ROWS.items():
            for key in keys:
                await store.put(table, key, value)
        async with running(store=store) as (program, _store):
            assert await learns_of_an_endpoint(program, store)
            assert failed_tasks(program) == 0

    @pytest.mark.parametrize("field", ["service", "zone", "version"])
    @pytest.mark.parametrize("text", TEXTS)
    async def test_with_unprintable_text_is_no_endpoint(self, field, text):
        one = RawEndpoint("i1", [answer()] * 50)
        async with running(one) as (program, store):
            await store.put("servers", "odd", entry(one.address, **{field: text}))
            assert await learns_of_an_endpoint(program, store)
            assert "odd" not in program.view.members
            assert failed_tasks(program) == 0

    @pytest.mark.parametrize("key", TEXTS)
    async def test_with_an_unprintable_key_is_no_endpoint(self, key):
        one = RawEndpoint("i1", [answer()] * 50)
        async with running(one) as (program, store):
            await store.put("servers", key, entry(one.address))
            assert await learns_of_an_endpoint(program, store)
            assert key not in program.view.members
            assert failed_tasks(program) == 0
