import asyncio

import pytest

from ebonydeal._internal.errors import EbonydealError, Outcome
from ebonydeal._internal.journal.fold import Phase
from tests.lib.clock import settle
from tests.lib.journal_fakes import FAST, World, make_note, make_request

# More operations than the scenario makes, so that each of them is struck.
STEPS = range(1, 26)
CFG = FAST._replace(snapshot_rows=2)


class Striker:
    """Stops a process for good at the n-th operation on a store."""

    def __init__(self, node, step, after):
        self.left = step
        self.node = node
        self.struck = False
        tables, objects = node.world.tables.faults, node.world.objects.faults
        for faults in (tables, objects):
            if after:
                faults.after = self.strike
            else:
                faults.before = self.strike
        self.faults = (tables, objects)

    async def strike(self, operation):
        self.left -= 1
        if self.left == 0:
            self.struck = True
            self.node.running.clear()
            await asyncio.get_running_loop().create_future()

    def heal(self):
        for faults in self.faults:
            faults.before = faults.after = None


async def scenario(node, told):
    """One request of each sort, a snapshot, a repeat, a status."""

    async def ask(name, coro):
        try:
            told[name] = await coro
        except EbonydealError as exc:
            told[name] = exc

    owner = node.owner
    await ask("accept", owner.accept(make_request("r-0000-1", body="{" + " " * 20000)))
    await ask("call", owner.call(make_note("k-0000-2"), 5.0))
    await ask("later", owner.accept(make_request("r-0000-3")))
    await ask("again", owner.call(make_note("k-0000-2"), 5.0))
    await ask("note", owner.accept(make_note("k-0000-4")))


class TestCrash:
    @pytest.mark.parametrize("after", [False, True])
    @pytest.mark.parametrize("step", STEPS)
    async def test_at_each_operation(self, step, after):
        world = World(CFG)
        node = await world.node()
        striker = Striker(node, step, after)
        told = {}
        run = asyncio.ensure_future(scenario(node, told))
        for _ in range(10):
            await world.clock.advance(0.5)
        striker.heal()
        run.cancel()
        other = await world.node("n-2")
        node.running.set()
        await world.clock.advance(10.0)
        await settle(60)
        self.check(world, other.owner.states, told)
        await world.close()

    def check(self, world, states, told):
        ran = [attempt.split(".")[0] for _, attempt in world.services.log]
        assert len(ran) == len(set(ran))
        ids = {"accept": "r-0000-1", "later": "r-0000-3", "note": "k-0000-4"}
        for name, request_id in ids.items():
            if name in told and not isinstance(told[name], EbonydealError):
                assert states[request_id].is_final
        for name in ("call", "again"):
            if isinstance(told.get(name), dict) and told[name]["answer"]:
                assert states["k-0000-2"].phase is Phase.COMPLETED
        for name, answer in told.items():
            refused = isinstance(answer, EbonydealError)
            if refused and answer.answer.outcome is Outcome.NOT_RUN:
                assert ids.get(name, "k-0000-2") not in ran
        for request_id, state in states.items():
            assert state.is_final
            if state.phase is Phase.ENDED:
                assert request_id not in ran

    async def test_every_operation_is_struck(self):
        world = World(CFG)
        node = await world.node()
        striker = Striker(node, max(STEPS), False)
        told = {}
        run = asyncio.ensure_future(scenario(node, told))
        for _ in range(10):
            await world.clock.advance(0.5)
        assert run.done() and not striker.struck
        assert [name for name in told] == ["accept", "call", "later", "again", "note"]
        await world.close()
