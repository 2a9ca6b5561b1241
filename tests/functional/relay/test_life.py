import asyncio
import json

from ebonydeal._internal.observe.counters import Event
from ebonydeal._internal.relay.duties.lease_keeper import LEASE_TABLE
from ebonydeal._internal.relay.duties.usage_store import USAGE_TABLE
from tests.lib.raw_endpoints import (
    RawEndpoint,
    answer,
)
from tests.lib.relay_fakes import (
    Client,
    MemoryDuties,
    MemoryEngines,
    MemoryStore,
    ask,
    document,
    relay,
    route,
    running,
    until,
)


class TestConfiguration:
    async def test_a_newer_one_takes_effect_and_an_older_one_is_ignored(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            added = route("/new/", "idempotent")
            await store.put("op", "config", document(5, [added]))
            await until(lambda: program.view.version == 5)
            assert (await ask(program, "/new/"))[0] == 200
            assert (await ask(program, "/safe/"))[0] == 404
            await store.put("op", "config", document(4))
            await asyncio.sleep(0.05)
            assert program.view.version == 5

    async def test_an_unreadable_one_leaves_the_last_valid_one_in_force(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            await store.put("op", "config", b'{"version": 9, "routes": 3}')
            await store.put("op", "config", document(6))
            await until(lambda: program.view.version == 6)
            assert (await ask(program, "/safe/"))[0] == 200

    async def test_without_one_the_relay_is_not_ready_and_answers_503(self):
        program = relay(MemoryStore())
        await program.start()
        try:
            assert not program.ready
            status, headers, _body = await ask(program, "/safe/")
            assert status == 503 and "retry-after" in headers
        finally:
            await program.stop()

    async def test_the_whole_table_is_read_when_the_change_history_expired(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            store.history_start = store.version + 10
            await store.put("op", "config", document(8))
            await until(lambda: program.view.version == 8)


class TestOutage:
    async def test_requests_are_served_with_the_last_known_state(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            await store.go_down()
            await asyncio.sleep(0.05)
            assert (await ask(program, "/safe/"))[0] == 200
            assert program.ready

    async def test_an_entry_that_expired_meanwhile_is_kept_for_the_grace_time(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            await store.go_down()
            await asyncio.sleep(0.05)
            await store.put("servers", "i1", None)
            store.down = False
            await until(
                lambda: all(f.failing_since is None for f in followers(program))
            )
            assert (await ask(program, "/safe/"))[0] == 200

    async def test_an_entry_removed_while_the_store_answers_is_dropped(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, store):
            await store.put("servers", "i1", None)
            await until(lambda: not program.view.members)
            assert (await ask(program, "/once/", method="POST"))[0] == 503

    async def test_a_relay_refused_by_the_store_gets_its_view_from_another(self):
        one = RawEndpoint("i1")
        store = MemoryStore()
        async with running(one, store=store, seed=1) as (first, _store):
            await until(lambda: first.coordinator.holds)
            address = f"127.0.0.1:{first.peers.port}"
            lonely = MemoryStore()
            lonely.down = True
            second = relay(lonely, node="n2", seed=2)
            second._exchange.relays = [address]
            await second.start()
            try:
                await until(lambda: second.ready)
                assert (await ask(second, "/safe/"))[0] == 200
                # It learns from the other relay who holds the lease, too.
                await until(lambda: second.coordinator.lease.fence == 1)
                await store.put("op", "config", document(9))
                await until(lambda: second.view.version == 9)
            finally:
                await second.stop()


def followers(program):
    return program._followers


class TestStop:
    async def test_requests_in_flight_are_finished(self):
        go_on = asyncio.Event()

        async def slow(_reader, writer, headers):
            await go_on.wait()
            writer.write(answer(headers))

        one = RawEndpoint("i1", [slow])
        async with running(one) as (program, _store), Client(program) as client:
            await client.send("/once/", method="POST")
            await until(lambda: one.seen)
            stop = asyncio.create_task(program.stop())
            await until(lambda: not program.ready)
            go_on.set()
            status, headers, body = await client.receive()
            await stop
        assert (status, body) == (200, b"hello")
        assert headers["connection"] == "close"

    async def test_kept_alive_connections_are_served_during_the_settle_time(self):
        one = RawEndpoint("i1")
        async with running(one, settle_s=0.3) as (program, _store):
            async with Client(program) as client:
                await client.ask("/safe/")
                stop = asyncio.create_task(program.stop())
                await until(lambda: not program.ready)
                status, headers, _body = await client.ask("/once/", method="POST")
                await stop
        assert (status, headers["connection"]) == (200, "close")

    async def test_a_request_that_arrives_during_the_last_report_is_answered(self):
        report_begun, request_seen = asyncio.Event(), asyncio.Event()

        async def flush():
            report_begun.set()
            await request_seen.wait()

        async def slow(_reader, writer, headers):
            request_seen.set()
            await asyncio.sleep(0.2)
            writer.write(answer(headers))

        one = RawEndpoint("i1", [answer(), slow])
        async with running(one) as (program, _store), Client(program) as client:
            await client.ask("/safe/")
            program._exchange.flush = flush
            stop = asyncio.create_task(program.stop())
            await report_begun.wait()
            status, _headers, body = await client.ask("/safe/", rid="r2")
            await stop
        assert (status, body) == (200, b"hello")

    async def test_idle_connections_do_not_delay_the_stop(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, _store), Client(program) as client:
            await client.ask("/safe/")
            await asyncio.wait_for(program.stop(), 3)
            assert await client.reader.read() == b""


class TestDuties:
    async def test_usage_is_stored_once_and_then_reported(self):
        one = RawEndpoint("i1")
        duties = MemoryDuties()
        async with running(one, duties=duties, usage_window_s=0.5, usage_late_s=5) as (
            program,
            store,
        ):
            for n in range(3):
                await ask(program, "/safe/", rid=f"r{n}")
            await until(lambda: sum(c["acme"] for _w, c, _f in duties.usage) == 3)
        windows = [window for window, _counts, _fence in duties.usage]
        assert len(set(windows)) == len(windows)
        stored = {
            int(key): json.loads(row.value)
            for key, row in store.tables[USAGE_TABLE].items()
            if key.isdigit()
        }
        sent = {window: counts for window, counts, _fence in duties.usage}
        assert all(sent[w] == counts for w, counts in stored.items() if w in sent)

    async def test_a_new_holder_reports_the_stored_counts(self):
        store, duties = MemoryStore(), MemoryDuties()
        one = RawEndpoint("i1")
        async with running(one, store=store, usage_window_s=0.5, usage_late_s=5) as (
            program,
            _store,
        ):
            wall = program._clock.wall()
            window = int(wall // 0.5) + 2
            await store.put(USAGE_TABLE, f"{window:012d}", b'{"acme": 77}')
            program.coordinator._parts = program.coordinator._parts._replace(
                duties=duties
            )
            await until(lambda: any(w == window for w, _c, _f in duties.usage))
        (sent,) = [counts for w, counts, _f in duties.usage if w == window]
        assert sent == {"acme": 77}

    async def test_another_relay_takes_the_lease_at_once_after_a_planned_stop(self):
        store = MemoryStore()
        first, second = relay(store, seed=1), relay(store, node="n2", seed=2)
        await first.start()
        await until(lambda: first.coordinator.holds)
        await second.start()
        fence = first.coordinator.lease.fence
        await first.stop()
        try:
            await until(lambda: second.coordinator.holds)
            assert second.coordinator.lease.fence == fence + 1
        finally:
            await second.stop()

    async def test_a_lease_write_without_a_reply_is_read_back(self):
        store = MemoryStore()
        store.lose_answers = 1
        program = relay(store)
        await program.start()
        try:
            await until(lambda: program.coordinator.holds)
            assert program.coordinator.lease.fence == 1
            assert len(store.tables[LEASE_TABLE]) == 1
        finally:
            await program.stop()


class TestMetrics:
    async def test_they_are_served_on_the_peer_address(self):
        one = RawEndpoint("i1")
        async with running(one) as (program, _store):
            await ask(program, "/none/")
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", program.peers.port
            )
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
            text = await reader.readuntil(b"ebonydeal_events")
            writer.close()
        assert b'reason="not_found"} 1.0' in text

    async def test_peers_without_the_credential_are_rejected(self):
        async with running() as (program, _store):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", program.peers.port
            )
            writer.write(
                b"POST /relay/v1/grant HTTP/1.1\r\nHost: a\r\n"
                b"Content-Length: 2\r\n\r\n{}"
            )
            assert b" 401 " in await reader.readline()
            writer.close()


class TestFailedTask:
    async def test_a_relay_goes_on_after_an_error_in_a_background_task(self):
        engines = MemoryEngines()
        one, two = RawEndpoint("i1"), RawEndpoint("i2")
        async with running(one, two, engines=engines) as (program, store):
            await until(lambda: program.coordinator.holds)
            engines.left[two.address] = KeyError(two.address)
            row = two.row(state="draining", spot=True)
            await store.put("servers", two.name, row)
            await until(lambda: two.address in engines.asked)
            await until(
                lambda: program._metrics.events().get(Event.TASKS_FAILED, 0) > 0
            )
            async with Client(program) as client:
                await client.send("/safe/")
                status, _headers, _body = await client.receive()
            assert status == 200
            assert not program.crashed
