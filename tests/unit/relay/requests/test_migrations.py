from random import Random

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.requests.migrations import (
    MigratorParts,
    StreamMigrator,
    StreamRun,
)
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.notices.notices import EndpointNotices
from ebonydeal._internal.routing.placement.member_choice import MemberChoice
from ebonydeal._internal.routing.placement.outliers import Outliers
from ebonydeal._internal.routing.retries.retries import RetryPolicy
from ebonydeal._internal.settings.routing import RetrySettings, RoutingSettings
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import MemoryEngines

DRAIN_S = 2.0


def member(name, revision=1, leaving=False):
    return Member(name, "s", f"{name}:1", "z", 8, leaving, None, True, 0.0, revision)


class Setting:
    """A relay's moves with endpoints i1 and i2, and one run at i1."""

    def __init__(self, expected_tokens, budget=5.0):
        self.clock = ManualClock(100.0)
        self.view = RelayView(DRAIN_S)
        self.view.put(member("i1"))
        self.view.put(member("i2"))
        self.engines = MemoryEngines()
        retries = RetryPolicy(
            RetrySettings(budget=budget, budget_cap=budget), Random(1)
        )
        retries.first_send("s", 100.0)
        self.moves = StreamMigrator(
            MigratorParts(
                self.view,
                MemberChoice(8.0),
                Outliers(RoutingSettings(), Random(1)),
                retries,
                EndpointNotices(),
                self.engines,
                Metrics(),
                self.clock,
                "z",
                DRAIN_S,
            )
        )
        self.run = StreamRun("r1", "s", member("i1"), 100, expected_tokens, 1)
        self.moves.enter(self.run)

    async def makes(self, events, seconds):
        """Let the run make events over some seconds."""
        self.run.count(1, self.clock.now())
        await self.clock.advance(seconds)
        self.run.count(events - 1, self.clock.now())

    def leaves(self):
        self.view.put(member("i1", 2, leaving=True), heard_at=self.clock.now())

    async def step(self):
        """Take one step; return the run's move, if it has one."""
        self.moves._step(self.clock.now())
        return await self.moves.result(self.run)


class TestWhen:
    async def test_nothing_moves_while_its_endpoint_stays(self):
        case = Setting(1000)
        await case.makes(10, 1.0)
        assert await case.step() is None
        assert case.engines.moves == []

    async def test_a_long_stream_moves_at_once(self):
        case = Setting(1000)
        await case.makes(10, 1.0)
        case.leaves()
        moved = await case.step()
        assert moved.member.endpoint_id == "i2"
        assert moved.carried == ("i1:1", "h1")

    async def test_one_that_ends_in_time_stays(self):
        case = Setting(12)
        await case.makes(10, 1.0)
        case.leaves()
        assert await case.step() is None
        # The last event is due 0.2 s after the tenth.
        await case.clock.advance(0.1)
        assert await case.step() is None
        assert case.engines.moves == []

    async def test_one_that_may_end_in_time_waits_for_the_last_chance(self):
        case = Setting(35)
        await case.makes(10, 1.0)
        case.leaves()
        case.view.expect_leave("i1", case.clock.now() + DRAIN_S)
        assert await case.step() is None
        await case.clock.advance(1.3)
        assert (await case.step()) is not None

    async def test_also_when_its_entry_is_gone_without_a_word(self):
        case = Setting(1000)
        await case.makes(10, 1.0)
        case.view.remove("i1", 3)
        assert (await case.step()) is not None

    async def test_before_its_first_event_it_has_no_memory_to_pass(self):
        case = Setting(1000)
        case.leaves()
        assert await case.step() is None
        assert case.engines.moves == []


class TestTimeLeft:
    async def test_a_reclaimable_one_is_taken_to_go_soon(self):
        case = Setting(22)
        await case.makes(10, 1.0)
        case.leaves()
        # 1.2 s to go, of a second at least until it says more.
        assert await case.step() is None
        await case.clock.advance(0.25)
        assert (await case.step()) is not None

    async def test_until_it_says_more(self):
        case = Setting(22)
        await case.makes(10, 1.0)
        case.leaves()
        case.view.expect_leave("i1", case.clock.now() + 2.5)
        await case.clock.advance(0.25)
        assert await case.step() is None
        await case.clock.advance(1.5)
        assert (await case.step()) is not None


class TestBudget:
    async def test_a_move_is_a_further_send_of_the_shared_budget(self):
        case = Setting(1000, budget=0.0)
        await case.makes(10, 1.0)
        case.leaves()
        assert await case.step() is None
        assert case.engines.moves == []
        assert case.run.moving is None
