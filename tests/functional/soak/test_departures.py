"""Endpoints that leave by the list alone get no requests after the drain time.

Their entries change after all open connections of the relays have fallen silent for
good, and the relays had the time to notice it.
"""

from ebonydeal._internal.soak.plan import Fault, Step
from ebonydeal._internal.soak.run import Size, run_plan

SIZE = Size(relays=4, endpoints=5, clients=12, seconds=11.0)
# Longer than the time after which a relay counts as in touch again.
LEAVES_AFTER_S = 3.05
SERVES_ON_S = 7.0
REMOVED = 1
# By the order in which relays start, the first one holds the lease.
COORDINATOR = 0


def departure(*faults):
    leaves = Step(1.0 + LEAVES_AFTER_S, Fault.ENDPOINT_UNLISTED, SERVES_ON_S, REMOVED)
    return [Step(1.0, Fault.CONNECTIONS_SILENT, 0.0, 0), *faults, leaves]


class TestRemovedFromTheList:
    async def test_after_connections_fell_silent(self):
        verdict = await run_plan(departure(), 1, SIZE)
        assert verdict.violations == []

    async def test_and_the_coordinator_was_killed(self):
        kill = Step(0.8 + LEAVES_AFTER_S, Fault.KILL, 1.0, COORDINATOR)
        verdict = await run_plan(departure(kill), 2, SIZE)
        assert verdict.violations == []
