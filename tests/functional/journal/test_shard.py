import asyncio
import json

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.fold import Phase
from ebonydeal._internal.journal.rows import journal_key
from ebonydeal._internal.outside.interfaces import Put
from tests.lib.clock import settle
from tests.lib.journal_fakes import FAST, World, make_keyed_call, make_request


@pytest.fixture
async def world():
    world = World()
    yield world
    await world.close()


class TestAcceptedRequests:
    async def test_request_runs_to_a_complete_answer(self, world):
        node = await world.node()
        await node.owner.accept(make_request())
        await settle()
        status = await node.owner.status("r-0000-1", "gwesty")
        assert status["state"] == "completed"
        answer = json.loads(status["answer"]["body"])
        assert answer["object"] == "chat.completion"
        assert answer["choices"][0]["message"]["content"] == "one two three four"
        assert answer["choices"][0]["finish_reason"] == "stop"
        assert answer["usage"] == {
            "prompt_tokens": 7,
            "completion_tokens": 4,
            "total_tokens": 11,
        }

    async def test_new_owner_completes_requests_of_the_old_one(self, world):
        node = await world.node()
        world.engine.hold("e-1", 2)
        await node.owner.accept(make_request())
        await settle()
        await node.kill()
        world.engine.held.clear()
        other = await world.node("n-2")
        await settle()
        status = await other.owner.status("r-0000-1", "gwesty")
        assert status["state"] == "completed"

    async def test_full_shard_refuses_new_requests(self):
        world = World(FAST._replace(max_requests=1))
        node = await world.node()
        await node.owner.accept(make_request())
        await node.owner.accept(make_request())
        with pytest.raises(EbonydealError) as caught:
            await node.owner.accept(make_request("r-0000-2"))
        assert caught.value.kind is ErrorKind.JOURNAL_BEHIND
        await world.close()

    async def test_request_is_hidden_from_other_accounts(self, world):
        node = await world.node()
        await node.owner.accept(make_request())
        with pytest.raises(EbonydealError) as caught:
            await node.owner.status("r-0000-1", "palermo")
        assert caught.value.kind is ErrorKind.NOT_FOUND


class TestMalformedRow:
    async def test_malformed_row_stops_only_its_shard(self, world):
        node = await world.node()
        await node.owner.accept(make_request())
        await world.tables.transact([], [Put(journal_key(0, 0), {"records": [{}]})])
        await node.kill()
        other = await world.node("n-2")
        await world.clock.advance(5.0)
        assert not other.owner.serving
        assert not other.owner.crashed
        await other.claim(1)
        assert other.owner.serving


class TestKeyedCalls:
    async def test_repeated_call_returns_the_stored_answer(self, world):
        node = await world.node()
        first = await node.owner.call(make_keyed_call(), 5.0)
        again = await node.owner.call(make_keyed_call(), 5.0)
        assert first["answer"]["body"] == "ok"
        assert again == first
        assert len(world.services.log) == 1

    async def test_concurrent_repeats_run_once(self, world):
        node = await world.node()
        calls = [node.owner.call(make_keyed_call(), 5.0) for _ in range(2)]
        first, second = await asyncio.gather(*calls)
        assert first == second
        assert len(world.services.log) == 1

    async def test_reused_key_with_a_different_body_is_refused(self, world):
        node = await world.node()
        await node.owner.call(make_keyed_call(), 5.0)
        with pytest.raises(EbonydealError) as caught:
            await node.owner.call(make_keyed_call(body_digest="d2"), 5.0)
        assert caught.value.kind is ErrorKind.KEY_REUSED

    async def test_call_is_resent_after_proof_that_it_did_not_run(self, world):
        node = await world.node()
        world.services.failures.extend(
            [ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_REFUSED]
        )
        call = asyncio.ensure_future(node.owner.call(make_keyed_call(), 5.0))
        await world.clock.advance(1.0)
        assert (await call)["state"] == "completed"
        assert len(world.services.log) == 1

    async def test_failure_without_proof_is_unknown(self, world):
        node = await world.node()
        world.services.failures.append(ErrorKind.ENDPOINT_FAILED)
        call = asyncio.ensure_future(node.owner.call(make_keyed_call(), 5.0))
        await world.clock.advance(10.0)
        status = call.result()
        assert status["state"] == "unknown"
        assert status["error"]["outcome"] == "unknown"
        await world.clock.advance(60.0)
        assert len(world.services.log) == 1

    async def test_takeover_during_a_call_is_unknown(self, world):
        node = await world.node()
        world.services.held = asyncio.Event()
        call = asyncio.ensure_future(node.owner.call(make_keyed_call(), 5.0))
        await settle()
        assert node.owner.states["k-0000-1"].phase is Phase.DISPATCHED
        await node.kill()
        call.cancel()
        other = await world.node("n-2")
        status = await other.owner.status("k-0000-1", "gwesty")
        assert status["state"] == "unknown"
        assert len(world.services.log) == 1

    async def test_nothing_is_sent_before_the_record_is_durable(self, world):
        node = await world.node()
        await node.owner.accept(make_keyed_call("k-0000-2"))
        await settle()
        world.services.log.clear()
        world.tables.faults.down = True
        call = asyncio.ensure_future(node.owner.call(make_keyed_call(), 5.0))
        await settle()
        with pytest.raises(EbonydealError) as caught:
            await call
        assert caught.value.kind is ErrorKind.JOURNAL_UNAVAILABLE
        assert world.services.log == []
