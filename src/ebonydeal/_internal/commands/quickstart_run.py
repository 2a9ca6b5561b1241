"""The quickstart's run: load on the system while a zone is reclaimed."""

import asyncio
import time
from collections import Counter
from typing import Any, NamedTuple

from ebonydeal._internal.commands.quickstart_system import (
    ACCOUNT,
    ProgressCallback,
    QuickstartSystem,
    build,
    wait_ready,
)
from ebonydeal._internal.standin.balancer import Balancer
from ebonydeal._internal.standin.calls import CallRecord
from ebonydeal._internal.standin.check import check
from ebonydeal._internal.standin.load import LoadRun, LoadSpec
from ebonydeal._internal.standin.report import summary
from ebonydeal._internal.utils.clock import Clock, SystemClock

DEFAULT_LOAD: dict[str, Any] = {"max_tokens": 240, "streams_per_s": 4.0}


class QuickstartOptions(NamedTuple):
    """Options of a quickstart run.

    Attributes
    ----------
    seed : int
        Seed of prompts, arrivals, ids and choices.
    seconds : float
        Time for which new requests are sent.
    gateways : int
        Number of gateways.
    notice_seconds : float
        Time from the zone's reclaim notice until its endpoints are killed.
    reclaim : bool
        Whether a zone is reclaimed midway.
    speed : float
        Speed-up factor of the endpoints.
    load : dict
        Fields of `LoadSpec` that differ from the defaults.
    """

    seed: int = 1
    seconds: float = 20.0
    gateways: int = 3
    notice_seconds: float = 2.0
    reclaim: bool = True
    speed: float = 1.0
    load: dict[str, Any] = DEFAULT_LOAD


async def run_quickstart(
    options: QuickstartOptions, on_progress: ProgressCallback
) -> dict[str, Any]:
    """Run the system under load and return the results."""
    clock = SystemClock()
    start = time.monotonic()
    system = build(
        options.seed, options.gateways, clock, on_progress, speed=options.speed
    )
    await system.tree.start()
    try:
        records = await _run_load(system, options, clock, on_progress)
        logs = system.tree.world.logs()
        total_counts = system.tree.total_counts()
        fleet = _fleet(system)
    finally:
        await system.tree.stop()
    result = summary(records, check(records, logs))
    kinds = [counts["sent"] for counts in result["by_kind"].values()]
    result["ok"] = result["ok"] and all(kinds)
    result["fleet"] = fleet
    result["counted"] = total_counts
    result["seconds"] = round(time.monotonic() - start, 1)
    return result


def _fleet(system: QuickstartSystem) -> dict[str, Any]:
    """Return the instances started, stopped and running, and the current spend."""
    cloud = system.tree.world.cloud
    running = Counter(item.zone for item in cloud.running())
    return {
        "started": len(cloud.instances),
        "stopped": len(cloud.instances) - running.total(),
        "running_by_zone": dict(sorted(running.items())),
        "spend_per_hour": round(cloud.spend_per_hour(), 2),
    }


async def _run_load(
    system: QuickstartSystem,
    options: QuickstartOptions,
    clock: Clock,
    on_progress: ProgressCallback,
) -> list[CallRecord]:
    """Send the load, reclaim a zone midway, and return the callers' records."""
    balancer = Balancer(system.gateway_urls())
    await balancer.start()
    try:
        await wait_ready(system, balancer, clock)
        on_progress(f"fleet: {len(system.tree.world.endpoints())} endpoints are up")
        spec = LoadSpec.from_document(
            system.document,
            ACCOUNT,
            system.api_key,
            seconds=options.seconds,
            seed=options.seed,
            **options.load,
        )
        on_progress(f"load: four kinds of requests for {options.seconds:g} s")
        reclaim = asyncio.create_task(_reclaim(system, options, clock, on_progress))
        try:
            records = await LoadRun(spec, balancer, clock).run()
            await reclaim
        finally:
            reclaim.cancel()
    finally:
        await balancer.stop()
    answered = sum(record.is_complete for record in records)
    on_progress(f"load: {answered} of {len(records)} requests were answered")
    return records


async def _reclaim(
    system: QuickstartSystem,
    options: QuickstartOptions,
    clock: Clock,
    on_progress: ProgressCallback,
) -> None:
    """Reclaim the first availability zone midway."""
    if not options.reclaim:
        return
    await clock.sleep(options.seconds / 2)
    world = system.tree.world
    zone = world.spec.places[0].zone
    count = sum(1 for view in world.views() if view.place.zone == zone)
    on_progress(
        f"reclaim: zone {zone}, {count} endpoints, {options.notice_seconds:g} s left"
    )
    world.reclaim_zone(zone, options.notice_seconds)
    await clock.sleep(options.notice_seconds)
    on_progress(f"reclaim: zone {zone} is gone")
