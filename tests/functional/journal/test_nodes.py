import asyncio
import random

import pytest
from aiohttp import ClientSession

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.peers.journal_client import JournalClient
from tests.lib.journal_fakes import (
    CREDENTIAL,
    FAST,
    Process,
    World,
    make_keyed_call,
    make_request,
)

CFG = FAST._replace(shards=4, settle_seconds=5.0)
MAX_STEPS = 2000


@pytest.fixture
async def world():
    yield World(CFG)


@pytest.fixture
async def processes(world):
    started = []

    async def start(name):
        process = Process(world, name)
        await process.start()
        started.append(process)
        return process

    yield start
    for process in started:
        await process.kill()


@pytest.fixture
async def client(world):
    client = JournalClient.from_config(
        CFG,
        CREDENTIAL,
        world.tables,
        clock=world.clock,
        rng=random.Random(2),
        metrics=Metrics(),
    )
    yield client
    await client.close()


async def advance_until(world, condition, step=0.5):
    """Advance the clock until ``condition`` holds."""
    for _ in range(MAX_STEPS):
        if condition():
            return
        await world.clock.advance(step)
        await asyncio.sleep(0)
    raise AssertionError("the condition did not become true in time")


async def advance_until_done(world, coro):
    """Advance the clock until ``coro`` is done."""
    task = asyncio.ensure_future(coro)
    for _ in range(MAX_STEPS):
        done, _ = await asyncio.wait({task}, timeout=0.01)
        if done:
            break
        await world.clock.advance(0.1)
    return await task


def served_shards(process):
    return {shard for shard, owner in process.node.owners.items() if owner.serving}


class TestShards:
    async def test_one_node_serves_all_shards(self, world, processes):
        one = await processes("n-1")
        await advance_until(world, lambda: served_shards(one) == {0, 1, 2, 3})

    async def test_a_second_node_gets_its_share_by_hand_over(self, world, processes):
        one = await processes("n-1")
        await advance_until(world, lambda: len(served_shards(one)) == 4)
        two = await processes("n-2")
        await advance_until(world, lambda: len(served_shards(two)) > 0)
        await advance_until(
            world, lambda: served_shards(one) | served_shards(two) == {0, 1, 2, 3}
        )
        assert not served_shards(one) & served_shards(two)

    async def test_shards_of_a_crashed_node_are_taken_over(self, world, processes):
        one = await processes("n-1")
        await advance_until(world, lambda: len(served_shards(one)) == 4)
        two = await processes("n-2")
        await advance_until(world, lambda: len(served_shards(two)) > 0)
        await one.kill()
        await advance_until(world, lambda: served_shards(two) == {0, 1, 2, 3})

    async def test_stopped_node_releases_its_shards_and_lease(self, world, processes):
        one = await processes("n-1")
        await advance_until(world, lambda: len(served_shards(one)) == 4)
        stop = asyncio.ensure_future(one.stop())
        await advance_until(world, stop.done)
        rows = await world.tables.scan("shards/")
        assert [row.value["owner"] for row in rows] == ["", "", "", ""]
        assert await world.tables.scan("nodes/") == []

    async def test_released_shard_is_claimed_before_the_next_read(
        self, world, processes
    ):
        one = await processes("n-1")
        two = await processes("n-2")
        await advance_until(
            world, lambda: served_shards(one) | served_shards(two) == {0, 1, 2, 3}
        )
        await world.clock.advance(30.0)
        shard = min(served_shards(one))
        before = world.clock.now()
        moved = asyncio.ensure_future(one.node.hand_over(shard, 10.0))
        for _ in range(MAX_STEPS):
            if shard in served_shards(two):
                break
            await asyncio.sleep(0.001)
        assert await moved and shard in served_shards(two)
        assert world.clock.now() == before

    async def test_offer_of_an_owned_shard_is_rejected(self, world, processes):
        one = await processes("n-1")
        two = await processes("n-2")
        await advance_until(
            world, lambda: served_shards(one) | served_shards(two) == {0, 1, 2, 3}
        )
        shard = min(served_shards(one))
        assert not await two.node.accept_offer(shard)
        assert shard in served_shards(one)

    async def test_stop_during_an_outage_completes_without_loss(
        self, world, processes, client
    ):
        one = await processes("n-1")
        await advance_until(world, lambda: len(served_shards(one)) == 4)
        request_id = client.request_id("gwesty", "")
        await advance_until_done(world, client.accept(make_request(request_id)))
        world.tables.faults.down = True
        await advance_until_done(world, one.stop())
        world.tables.faults.down = False
        two = await processes("n-2")
        await advance_until(world, lambda: len(served_shards(two)) == 4)
        status = await advance_until_done(world, client.status(request_id, "gwesty"))
        assert status.state == "completed"

    async def test_table_outage_moves_no_shards(self, world, processes):
        one = await processes("n-1")
        two = await processes("n-2")
        await advance_until(
            world, lambda: served_shards(one) | served_shards(two) == {0, 1, 2, 3}
        )
        await world.clock.advance(60.0)
        before = served_shards(one), served_shards(two)
        epochs = [row.value["epoch"] for row in await world.tables.scan("shards/")]
        world.tables.faults.down = True
        await world.clock.advance(300.0)
        world.tables.faults.down = False
        await world.clock.advance(60.0)
        assert (served_shards(one), served_shards(two)) == before
        after = [row.value["epoch"] for row in await world.tables.scan("shards/")]
        assert after == epochs


class TestClient:
    async def test_accept_and_status(self, world, processes, client):
        one = await processes("n-1")
        await advance_until(world, lambda: len(served_shards(one)) == 4)
        request_id = client.request_id("gwesty", "")
        accepted = await advance_until_done(
            world, client.accept(make_request(request_id))
        )
        assert accepted.state == "accepted"
        status = await advance_until_done(world, client.status(request_id, "gwesty"))
        assert status.state == "completed"
        assert status.answer is not None and status.answer.status == 200

    async def test_call_returns_the_answer(self, world, processes, client):
        one = await processes("n-1")
        await advance_until(world, lambda: len(served_shards(one)) == 4)
        request_id = client.request_id("gwesty", "note-1")
        status = await advance_until_done(
            world, client.call(make_keyed_call(request_id), 5.0)
        )
        assert status.answer is not None and status.answer.body == "ok"

    async def test_call_follows_a_hand_over(self, world, processes, client):
        one = await processes("n-1")
        await advance_until(world, lambda: len(served_shards(one)) == 4)
        request_id = client.request_id("gwesty", "note-1")
        first = await advance_until_done(
            world, client.call(make_keyed_call(request_id), 5.0)
        )
        two = await processes("n-2")
        stop = asyncio.ensure_future(one.stop())
        await advance_until(world, lambda: stop.done() and len(served_shards(two)) == 4)
        again = await advance_until_done(
            world, client.call(make_keyed_call(request_id), 5.0)
        )
        assert again.answer == first.answer
        assert len(world.services.log) == 1

    async def test_call_without_owners_is_reported_as_not_run(self, world, client):
        request_id = client.request_id("gwesty", "note-1")
        with pytest.raises(EbonydealError) as caught:
            await advance_until_done(
                world, client.call(make_keyed_call(request_id), 1.0)
            )
        assert caught.value.kind is ErrorKind.JOURNAL_UNAVAILABLE

    async def test_lost_reply_is_retried_without_a_second_run(
        self, world, processes, client
    ):
        one = await processes("n-1")
        await advance_until(world, lambda: len(served_shards(one)) == 4)
        lost = []
        call = client._peers.call

        async def lose_first(address, path, message, timeout):
            body = await call(address, path, message, timeout)
            if not lost:
                lost.append(body)
                raise EbonydealError(ErrorKind.STORE_IN_DOUBT)
            return body

        client._peers.call = lose_first
        request_id = client.request_id("gwesty", "note-1")
        status = await advance_until_done(
            world, client.call(make_keyed_call(request_id), 5.0)
        )
        assert status.state == "completed"
        assert len(world.services.log) == 1

    async def test_unresponsive_owner_is_not_reported_as_not_run(
        self, world, processes, client
    ):
        one = await processes("n-1")
        await advance_until(world, lambda: len(served_shards(one)) == 4)

        async def lose(address, path, message, timeout):
            raise EbonydealError(ErrorKind.STORE_IN_DOUBT)

        client._peers.call = lose
        request_id = client.request_id("gwesty", "note-1")
        with pytest.raises(EbonydealError) as caught:
            await advance_until_done(
                world, client.call(make_keyed_call(request_id), 1.0)
            )
        assert caught.value.kind is ErrorKind.STORE_IN_DOUBT

    async def test_client_learns_the_owner_from_a_wrong_owner_error(
        self, world, processes, client
    ):
        one = await processes("n-1")
        await advance_until(world, lambda: len(served_shards(one)) == 4)
        two = await processes("n-2")
        await advance_until(world, lambda: served_shards(one) and served_shards(two))
        await world.clock.advance(10.0)
        shard = min(served_shards(two))
        client._owners[shard] = one.server.address
        request_id = f"r-{shard:04x}-1"
        status = await advance_until_done(
            world, client.accept(make_request(request_id))
        )
        assert status.state == "accepted"
        assert client._owners[shard] == two.server.address


class TestListener:
    async def test_call_without_credential_is_unauthorized(self, world, processes):
        one = await processes("n-1")
        url = f"http://{one.server.address}/journal/v1/status"
        body = {"request_id": "r-0000-1", "account": "gwesty"}
        async with ClientSession() as session:
            async with session.post(url, json=body) as resp:
                assert resp.status == 401
                assert (await resp.json())["error"]["code"] == "unauthorized"

    async def test_wrong_owner_error_has_the_owners_address(self, world, processes):
        one = await processes("n-1")
        await advance_until(world, lambda: len(served_shards(one)) == 4)
        two = await processes("n-2")
        await advance_until(world, lambda: len(served_shards(two)) > 0)
        await world.clock.advance(10.0)
        shard = min(served_shards(two))
        with pytest.raises(EbonydealError) as caught:
            one.node.owner_of(f"r-{shard:04x}-1")
        assert caught.value.kind is ErrorKind.WRONG_OWNER
        assert caught.value.owner == two.server.address
