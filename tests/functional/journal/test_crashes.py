import asyncio

import pytest

from ebonydeal._internal.errors import EbonydealError, Outcome
from ebonydeal._internal.journal.fold import Phase
from tests.lib.clock import settle
from tests.lib.journal_fakes import FAST, World, make_keyed_call, make_request

# More steps than the scenario has store operations, so each one gets a crash.
STEPS = range(1, 26)
CFG = FAST._replace(snapshot_rows=2)


class CrashInjector:
    """Stops a process for good at its n-th store operation."""

    def __init__(self, node, step, after):
        self.remaining = step
        self.node = node
        self.crashed = False
        tables, objects = node.world.tables.faults, node.world.objects.faults
        for faults in (tables, objects):
            if after:
                faults.after = self.on_operation
            else:
                faults.before = self.on_operation
        self.faults = (tables, objects)

    async def on_operation(self, operation):
        self.remaining -= 1
        if self.remaining == 0:
            self.crashed = True
            self.node.running.clear()
            await asyncio.get_running_loop().create_future()

    def remove(self):
        for faults in self.faults:
            faults.before = faults.after = None


async def scenario(node, replies):
    """Send requests of each kind and a repeated call, and cause a snapshot."""

    async def record_reply(name, coro):
        try:
            replies[name] = await coro
        except EbonydealError as exc:
            replies[name] = exc

    owner = node.owner
    await record_reply(
        "accept", owner.accept(make_request("r-0000-1", body="{" + " " * 20000))
    )
    await record_reply("call", owner.call(make_keyed_call("k-0000-2"), 5.0))
    await record_reply("later", owner.accept(make_request("r-0000-3")))
    await record_reply("again", owner.call(make_keyed_call("k-0000-2"), 5.0))
    await record_reply("note", owner.accept(make_keyed_call("k-0000-4")))


class TestCrash:
    @pytest.mark.parametrize("after", [False, True])
    @pytest.mark.parametrize("step", STEPS)
    async def test_crash_at_each_operation_loses_and_repeats_nothing(self, step, after):
        world = World(CFG)
        node = await world.node()
        injector = CrashInjector(node, step, after)
        replies = {}
        run = asyncio.ensure_future(scenario(node, replies))
        for _ in range(10):
            await world.clock.advance(0.5)
        injector.remove()
        run.cancel()
        other = await world.node("n-2")
        node.running.set()
        await world.clock.advance(10.0)
        await settle(60)
        self.check(world, other.owner.states, replies)
        await world.close()

    def check(self, world, states, replies):
        ran = [attempt.split(".")[0] for _, attempt in world.services.log]
        assert len(ran) == len(set(ran))
        ids = {"accept": "r-0000-1", "later": "r-0000-3", "note": "k-0000-4"}
        for name, request_id in ids.items():
            if name in replies and not isinstance(replies[name], EbonydealError):
                assert states[request_id].is_final
        for name in ("call", "again"):
            if isinstance(replies.get(name), dict) and replies[name]["answer"]:
                assert states["k-0000-2"].phase is Phase.COMPLETED
        for name, answer in replies.items():
            refused = isinstance(answer, EbonydealError)
            if refused and answer.response.outcome is Outcome.NOT_RUN:
                assert ids.get(name, "k-0000-2") not in ran
        for request_id, state in states.items():
            assert state.is_final
            if state.phase is Phase.ENDED:
                assert request_id not in ran

    async def test_steps_cover_every_operation(self):
        world = World(CFG)
        node = await world.node()
        injector = CrashInjector(node, max(STEPS), False)
        replies = {}
        run = asyncio.ensure_future(scenario(node, replies))
        for _ in range(10):
            await world.clock.advance(0.5)
        assert run.done() and not injector.crashed
        assert [name for name in replies] == [
            "accept",
            "call",
            "later",
            "again",
            "note",
        ]
        await world.close()
