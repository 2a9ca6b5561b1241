from types import SimpleNamespace

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.view.leaving import LeavingTimes
from ebonydeal._internal.relay.view.view import RelayView
from tests.lib.clock import ManualClock
from tests.lib.relay_fakes import MemoryEngines


def member(name, revision=1, leaving=False, reclaimable=True):
    address = f"{name}:1"
    return Member(name, "s", address, "z", 8, leaving, None, reclaimable, 0.0, revision)


class Case:
    def __init__(self, mine=True):
        self.clock = ManualClock(100.0)
        self.view = RelayView(2.0)
        self.engines = MemoryEngines()
        lease = SimpleNamespace(is_mine=mine)
        self.times = LeavingTimes(
            SimpleNamespace(lease=lease), self.engines, self.view, self.clock
        )

    async def play(self, seconds):
        await self.times.start()
        await self.clock.advance(seconds)
        # The service waits for its sleeping task otherwise.
        stop = self.times.stop()
        await self.clock.advance(1.0)
        await stop


class TestAsked:
    async def test_a_reclaimed_endpoint_is_asked_when_it_will_be_gone(self):
        case = Case()
        case.view.put(member("i1", leaving=True))
        case.engines.left["i1:1"] = 2.5
        await case.play(0.15)
        assert abs(case.view.leaves_at("i1") - 102.6) < 0.01
        assert case.engines.asked == ["i1:1"]

    async def test_an_endpoint_without_an_answer_is_asked_a_few_times(self):
        case = Case()
        case.view.put(member("i1", leaving=True))
        await case.play(2.0)
        assert case.view.leaves_at("i1") is None
        assert 2 <= len(case.engines.asked) <= 4

    async def test_a_failed_call_is_repeated(self):
        case = Case()
        case.view.put(member("i1", leaving=True))
        case.engines.left["i1:1"] = EbonydealError(ErrorKind.ENDPOINT_FAILED, "x")
        await case.play(0.5)
        assert len(case.engines.asked) >= 2

    async def test_endpoints_that_stay_or_are_not_reclaimable_are_not_asked(self):
        case = Case()
        case.view.put(member("i1"))
        case.view.put(member("i2", leaving=True, reclaimable=False))
        await case.play(0.5)
        assert case.engines.asked == []

    async def test_only_the_coordinator_asks(self):
        case = Case(mine=False)
        case.view.put(member("i1", leaving=True))
        await case.play(0.5)
        assert case.engines.asked == []
