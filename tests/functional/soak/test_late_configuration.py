"""A configuration is in force in time after faults of the ways by which it comes.

It changes right after the end of the fault, or as open connections have fallen silent.
"""

import pytest

from ebonydeal._internal.soak.plan import Fault, Step
from ebonydeal._internal.soak.run import Size, run_plan

SIZE = Size(relays=4, endpoints=4, clients=8, seconds=13.5)
SILENT_S = 7.0
# By the order in which relays start, the first one holds the lease.
COORDINATOR = 0


def changes(*times):
    return [Step(at, Fault.CONFIG, 0.0, 0) for at in times]


class TestAfterSilence:
    async def test_of_the_store(self):
        silent = Step(0.5, Fault.STORE_SILENT, SILENT_S, 0)
        plan = [silent, *changes(0.55 + SILENT_S)]
        verdict = await run_plan(plan, 1, SIZE)
        assert verdict.violations == []

    @pytest.mark.parametrize("also", [(), (Fault.CONNECTIONS_SILENT,)])
    async def test_of_connections_between_relays(self, also):
        faults = (Fault.PEERS_SILENT, *also)
        plan = [Step(4.0, fault, 0.0, 0) for fault in faults]
        verdict = await run_plan([*plan, *changes(4.05, 5.0, 6.5)], 2, SIZE)
        assert verdict.violations == []

    async def test_of_the_way_to_the_coordinator(self):
        unreachable = Step(1.0, Fault.PEER_UNREACHABLE, 6.0, COORDINATOR)
        verdict = await run_plan([unreachable, *changes(1.05, 3.0, 5.0)], 3, SIZE)
        assert verdict.violations == []
