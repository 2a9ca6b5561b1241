from ebonydeal._internal.controller.loads import LoadPoller
from ebonydeal._internal.models.endpoints import LoadReport
from tests.lib.clock import ManualClock
from tests.lib.endpoints import make_view


class CountingEngine:
    def __init__(self) -> None:
        self.polled: list[str] = []

    async def load(self, view) -> LoadReport:
        self.polled.append(view.endpoint_id)
        return LoadReport(0, 0, 8, 0.0, 40.0, 0.0)


class TestLoadPoller:
    async def test_replica_is_polled_once_per_period_unless_it_has_priority(self):
        engine = CountingEngine()
        clock = ManualClock()
        loads = LoadPoller(engine, clock, 60.0)
        views = {name: make_view(name) for name in ("i-1", "i-2")}
        await loads.poll(views, set())
        await loads.poll(views, {"i-2"})
        assert engine.polled == ["i-1", "i-2", "i-2"]
        await clock.advance(60.0)
        await loads.poll(views, set())
        assert engine.polled[3:] == ["i-1", "i-2"]
