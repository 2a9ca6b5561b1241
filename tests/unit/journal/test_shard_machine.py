import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome
from ebonydeal._internal.journal.fold import Phase
from ebonydeal._internal.journal.rows import shard_key
from ebonydeal._internal.journal.snapshots import replay
from ebonydeal._internal.standin.faults import Fault
from tests.lib.clock import settle
from tests.lib.journal_fakes import FAST, World, make_keyed_call, make_request

FAULTS = st.sampled_from([fault for fault in Fault if fault is not Fault.NONE])
FAILURES = st.sampled_from(
    [ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_REFUSED, ErrorKind.ENDPOINT_FAILED]
)
CFG = FAST._replace(snapshot_rows=3, max_batch=3)


class ShardMachine(RuleBasedStateMachine):
    """One shard with successive owners, under all faults of the stores."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.world = self.do(self.make_world())
        self.count = 0
        self.tasks: dict[str, asyncio.Task] = {}
        self.acked: set[str] = set()
        self.refused: set[str] = set()
        self.ends: dict[str, tuple] = {}
        self.do(self.world.node("n-0"))

    def do(self, coro):
        return self.loop.run_until_complete(coro)

    async def make_world(self) -> World:
        return World(CFG)

    def run_tasks(self, seconds: float = 0.0) -> None:
        async def step() -> None:
            await settle(60)
            if seconds:
                await self.world.clock.advance(seconds)
                await settle(60)

        self.do(step())
        self.collect()

    def collect(self) -> None:
        """Record the outcomes that callers have received."""
        for request_id, task in list(self.tasks.items()):
            if not task.done():
                continue
            del self.tasks[request_id]
            exc = task.exception()
            if exc is None:
                self.acked.add(request_id)
            elif isinstance(exc, EbonydealError):
                if exc.response.outcome is Outcome.NOT_RUN:
                    self.refused.add(request_id)
            else:
                raise exc

    def serving(self):
        return [node for node in self.world.nodes if node.owner.serving]

    # --- rules -------------------------------------------------------------------
    @rule(
        once=st.booleans(),
        oldest=st.booleans(),
        count=st.integers(1, 4),
        fault=st.sampled_from([Fault.NONE, *Fault]),
    )
    def accept(self, once: bool, oldest: bool, count: int, fault: Fault) -> None:
        """Send requests to an owner, which may have lost its shard without noticing."""
        nodes = self.serving()
        if not nodes:
            return
        owner = nodes[0 if oldest else -1].owner
        if fault is not Fault.NONE:
            self.world.tables.faults.writes.append(fault)
        for _ in range(count):
            self.count += 1
            request_id = f"{'k' if once else 'r'}-0000-{self.count}"
            request = make_keyed_call(request_id) if once else make_request(request_id)
            self.tasks[request_id] = self.do(self.start(owner, request))
        self.run_tasks()

    async def start(self, owner, request) -> asyncio.Task:
        return asyncio.ensure_future(owner.accept(request, urgent=True))

    @rule(faults=st.lists(FAULTS, min_size=1, max_size=2))
    def next_writes_fail(self, faults: list[Fault]) -> None:
        self.world.tables.faults.writes.extend(faults)

    @rule(seconds=st.sampled_from([0.0, 0.3, 6.0]))
    def tables_outage(self, seconds: float) -> None:
        self.world.tables.faults.down = True
        self.run_tasks(seconds)
        self.world.tables.faults.down = False
        self.run_tasks()

    @rule(down=st.booleans())
    def objects_down(self, down: bool) -> None:
        self.world.objects.faults.down = down

    @rule()
    def late_writes_land(self) -> None:
        self.world.tables.apply_late_writes()
        self.run_tasks()

    @rule(kind=FAILURES)
    def next_call_fails(self, kind: ErrorKind) -> None:
        self.world.services.failures.append(kind)

    @rule(hold=st.booleans())
    def calls_wait(self, hold: bool) -> None:
        if hold:
            self.world.services.held = asyncio.Event()
        elif self.world.services.held is not None:
            self.world.services.held.set()
            self.world.services.held = None
        self.run_tasks()

    @rule(pause=st.booleans())
    def takeover(self, pause: bool) -> None:
        """A new owner claims; the old one isn't notified and may be paused."""
        if pause:
            self.world.nodes[-1].running.clear()
        self.world.tables.faults.writes.clear()
        self.do(self.world.node(f"n-{len(self.world.nodes)}"))
        self.run_tasks()

    @rule()
    def paused_go_on(self) -> None:
        for node in self.world.nodes:
            node.running.set()
        self.run_tasks()

    @rule()
    def crash(self) -> None:
        node = self.world.nodes[-1]
        self.do(node.kill())
        self.world.tables.faults.writes.clear()
        self.do(self.world.node(f"n-{len(self.world.nodes)}"))
        self.run_tasks()

    @rule(seconds=st.sampled_from([0.1, 1.1, 4.0]))
    def time_passes(self, seconds: float) -> None:
        self.run_tasks(seconds)

    # --- invariants ----------------------------------------------------------------
    def durable(self) -> dict:
        """Return the states that a new owner would replay."""
        clean = World(CFG)
        clean.tables.rows = self.world.tables.rows
        clean.objects.data = self.world.objects.data
        return self.do(replay(clean.tables, clean.objects, 0)).states

    @invariant()
    def no_acknowledged_record_vanishes(self) -> None:
        assert self.acked <= set(self.durable())

    @invariant()
    def present_owner_holds_every_acknowledged_record(self) -> None:
        row = self.world.tables.rows.get(shard_key(0))
        assert row is not None
        for node in self.serving():
            if node.owner.epoch == row.value["epoch"]:
                assert self.acked <= set(node.owner.states)

    @invariant()
    def final_states_stay(self) -> None:
        for request_id, state in self.durable().items():
            if state.is_final:
                end = (state.phase, state.answer)
                assert self.ends.setdefault(request_id, end) == end

    @invariant()
    def non_idempotent_runs_at_most_once(self) -> None:
        ran = [attempt.split(".")[0] for _, attempt in self.world.services.log]
        assert len(ran) == len(set(ran))

    @invariant()
    def refused_is_never_kept_or_run(self) -> None:
        ran = {attempt.split(".")[0] for _, attempt in self.world.services.log}
        ran |= {attempt.split(".")[0] for _, attempt, _ in self.world.engine.log}
        assert not self.refused & ran
        assert not self.refused & set(self.durable())

    @invariant()
    def ended_never_ran(self) -> None:
        ran = {attempt.split(".")[0] for _, attempt in self.world.services.log}
        for request_id, state in self.durable().items():
            if state.phase is Phase.ENDED:
                assert request_id not in ran

    def teardown(self) -> None:
        """Check that every accepted request becomes final once all faults are over."""
        world = self.world
        world.tables.faults.down = world.objects.faults.down = False
        world.tables.faults.writes.clear()
        world.services.failures.clear()
        if world.services.held is not None:
            world.services.held.set()
            world.services.held = None
        for node in world.nodes:
            node.running.set()
        world.tables.apply_late_writes()
        self.do(world.node("n-last"))
        for _ in range(10):
            self.run_tasks(10.0)
        self.check_ends()
        self.do(world.close())
        for task in self.tasks.values():
            task.cancel()
        self.do(settle())
        self.loop.close()

    def check_ends(self) -> None:
        states = self.durable()
        assert self.acked <= set(states)
        for state in states.values():
            if state.request.idempotent:
                assert state.phase is Phase.COMPLETED
            else:
                assert state.phase in (Phase.COMPLETED, Phase.UNKNOWN)


ShardMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=30)
TestShardMachine = ShardMachine.TestCase
