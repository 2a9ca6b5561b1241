"""Faulty endpoints under load, checked by the callers' and endpoints' logs."""

import asyncio
from collections import Counter
from itertools import cycle

from ebonydeal._internal.standin.check import Violation
from ebonydeal._internal.standin.endpoint import EndpointFault, PlannedFault
from tests.lib.fakes_quickstart import run_with_fault

COMMITS = {
    "streams_per_s": 0.0,
    "lookups_per_s": 0.0,
    "deferred_per_s": 0.0,
    "commits_per_s": 12.0,
}
STREAMS = {
    "streams_per_s": 8.0,
    "lookups_per_s": 0.0,
    "deferred_per_s": 3.0,
    "commits_per_s": 0.0,
}


def endpoints_of_kind(tree, kind):
    return [item for item in tree.world.endpoints() if item.kind == kind]


def plan_faults(tree, kind, *faults):
    """Plan the same faults for the next attempts at every endpoint of a kind."""
    for endpoint in endpoints_of_kind(tree, kind):
        endpoint.faults.next.extend(faults)


# On a busy machine the short load may end before the state that these tests wait for.
# This load is long enough that calls still follow the fault.
LONG_COMMITS = {**COMMITS, "seconds": 5.0}


class TestAtMostOnceCalls:
    async def test_calls_with_lost_answers_are_unknown_and_never_retried(self):
        async def fail(tree):
            plan_faults(tree, "service", PlannedFault(EndpointFault.BREAK))

        records, verdict, _tree = await run_with_fault(fail, **COMMITS)
        assert verdict.count(Violation.UNKNOWN) > 0
        assert verdict.count(Violation.UNKNOWN) == len(verdict.findings)
        assert verdict.completed + len(verdict.findings) == len(records)

    async def test_a_call_refused_before_running_runs_elsewhere(self):
        async def fail(tree):
            plan_faults(tree, "service", *[PlannedFault(EndpointFault.REFUSE)] * 2)

        records, verdict, tree = await run_with_fault(fail, **LONG_COMMITS)
        refusals = [
            entry
            for log in tree.world.logs()
            for entry in log["entries"]
            if entry["refused"] == "refused"
        ]
        assert refusals
        assert verdict.findings == ()
        assert verdict.completed == len(records)

    async def test_calls_running_at_the_reclaim_notice_finish(self):
        async def reclaim(tree):
            for service in endpoints_of_kind(tree, "service"):
                service.faults.time_factor = 25.0
            zone = tree.world.spec.places[0].zone
            busy = []
            for _ in range(300):
                await asyncio.sleep(0.01)
                busy = [
                    e for e in endpoints_of_kind(tree, "service") if e.slots.running
                ]
                if busy:
                    break
            assert busy
            tree.world.reclaim_zone(zone, 2.0)

        records, verdict, _tree = await run_with_fault(reclaim, **LONG_COMMITS)
        assert verdict.findings == ()
        assert verdict.completed == len(records)


class TestStreamsOfFaultyEngines:
    async def test_every_caller_gets_its_complete_answer_once(self):
        faults = (
            EndpointFault.BREAK,
            EndpointFault.TRUNCATE,
            EndpointFault.GARBAGE,
            EndpointFault.ERROR,
            EndpointFault.REFUSE,
        )

        planned = []

        async def fail(tree):
            engines = endpoints_of_kind(tree, "engine")
            assert len(engines) >= len(faults)
            for engine, fault in zip(engines, cycle(faults), strict=False):
                engine.faults.next.extend([PlannedFault(fault, 3)] * 2)
            planned.extend(engines)

        records, verdict, _tree = await run_with_fault(fail, seconds=3.0, **STREAMS)
        assert sum(2 - len(engine.faults.next) for engine in planned) > 3
        assert Counter(item.violation for item in verdict.findings) == Counter()
        assert verdict.completed == len(records)
