"""Runs the quickstart's system under a small load, with one fault."""

import asyncio

from ebonydeal._internal.commands.quickstart_system import build, wait_ready
from ebonydeal._internal.standin.balancer import Balancer
from ebonydeal._internal.standin.check import check
from ebonydeal._internal.standin.load import LoadRun, LoadSpec
from ebonydeal._internal.utils.clock import SystemClock

SMALL_LOAD = {
    "max_tokens": 120,
    "streams_per_s": 6.0,
    "lookups_per_s": 6.0,
    "deferred_per_s": 2.0,
    "commits_per_s": 3.0,
}


def discard(_line):
    pass


def is_busy(load):
    """Return whether an answer is being received, or more than three were received."""
    receiving = any(
        record.received and not record.is_complete for record in load.records
    )
    return receiving or sum(record.is_complete for record in load.records) > 3


async def run_with_fault(fault, seconds=2.0, **changes):
    """Run the load, await ``fault(tree)`` during it, and check the records."""
    clock = SystemClock()
    system = build(1, 3, clock, discard, speed=2.0)
    tree = system.tree
    await tree.start()
    balancer = Balancer(system.gateway_urls())
    await balancer.start()
    try:
        await wait_ready(system, balancer, clock)
        options = {**SMALL_LOAD, "seconds": seconds, **changes}
        spec = LoadSpec.from_document(
            system.document, "breakfast", system.api_key, **options
        )
        load = LoadRun(spec, balancer, clock)
        running = asyncio.ensure_future(load.run())
        while not is_busy(load):
            await asyncio.sleep(0.01)
        await fault(tree)
        records = await running
        return records, check(records, tree.world.logs()), tree
    finally:
        await balancer.stop()
        await tree.stop()
