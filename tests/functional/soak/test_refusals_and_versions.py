"""Faults of the soak that need few endpoints, or a relay that stands still."""

import pytest

from ebonydeal._internal.soak.plan import Fault, Step
from ebonydeal._internal.soak.run import Size, run_plan


class TestRefusalsOfFewEndpoints:
    async def test_copies_of_them_prove_nothing_for_another_send(self):
        plan = [Step(0.2, Fault.ENDPOINT_FULL, 4.0, 0)]
        size = Size(relays=2, endpoints=1, clients=12, seconds=5.0)
        verdict = await run_plan(plan, 5, size)
        assert verdict.violations == []
        assert verdict.served > 0


class TestSilentStreams:
    @pytest.mark.parametrize("which", [0, 2, 4], ids=["0.8 s", "2.5 s", "1.5 s"])
    async def test_are_not_cut_if_other_endpoints_refuse_them(self, which):
        plan = [Step(0.2, Fault.ENDPOINTS_SILENT, 5.0, which)]
        size = Size(relays=2, endpoints=3, clients=16, seconds=6.0)
        verdict = await run_plan(plan, 5, size)
        assert verdict.violations == []
        assert verdict.served > 0


class TestVersionThatJoinsUnseen:
    @pytest.mark.parametrize("which", [1, 5], ids=["links work", "links silent"])
    async def test_no_stream_holds_events_of_two_versions(self, which):
        plan = [Step(8.5, Fault.VERSION_UNSEEN, 3.0, which)]
        size = Size(relays=4, endpoints=3, clients=6, seconds=12.0)
        verdict = await run_plan(plan, 7, size)
        assert verdict.violations == []
        assert verdict.served > 0
