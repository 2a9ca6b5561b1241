"""Measures how long the real controller takes to recover from a zone's loss."""

from typing import NamedTuple

from ebonydeal._internal.benchmarks.spend.fleet_run import ROUND_S, FleetRun
from ebonydeal._internal.benchmarks.spend.simulated_platform import SimulatedDurations

NOTICE_S = 30.0
_TIMEOUT_S = 3600.0


class Repair(NamedTuple):
    """Recovery from one zone's loss, in simulated seconds from the notice.

    Attributes
    ----------
    target, lost : int
        Replicas needed, and instances lost.
    below_s : float
        Time with fewer ready replicas than the target.
    back_s : float
        Time until the fleet can survive the loss of another zone.
    floor_s : float
        Minimum for any controller: boot time plus load time.
    operations : float
        Table operations for each instance lost.
    """

    target: int
    lost: int
    shortfall_s: float
    recovery_s: float
    min_recovery_s: float
    operations: float


async def measure_zone_loss(
    target: int,
    seed: int,
    notice_s: float = NOTICE_S,
    times: SimulatedDurations | None = None,
) -> Repair:
    """Fill a fleet, reclaim one of its zones, and measure the recovery."""
    run = FleetRun(target, seed, times)
    await run.fill_to_target()
    await run.rounds(10)
    zone = run.platform.live()[0].offer.zone
    before = run.table_operations
    lost = [item for item in run.platform.live() if item.offer.zone == zone]
    noticed_at = run.clock.now()
    if notice_s > 0:
        run.platform.announce_reclaim(zone, notice_s)
    run.platform.refused_markets.add((zone, True))
    stopped = False
    shortfall = 0.0
    while True:
        if not stopped and run.clock.now() - noticed_at >= notice_s:
            run.platform.stop_zone(zone)
            stopped = True
        await run.rounds(1)
        shortfall += ROUND_S * (run.ready_replicas() < target)
        elapsed = run.clock.now() - noticed_at
        if stopped and run.zone_loss_capacity() >= target or elapsed > _TIMEOUT_S:
            break
    minimum = run.platform.times.boot + run.platform.times.load
    operations = (run.table_operations - before) / max(1, len(lost))
    return Repair(target, len(lost), shortfall, elapsed, minimum, operations)


def repair_table(repairs: list[Repair]) -> str:
    """Return the table as text."""
    lines = [
        f"{'target':>7} {'lost':>5} {'below s':>8} {'back s':>7} "
        f"{'boot+load s':>12} {'table ops/lost':>15}"
    ]
    lines.extend(
        f"{item.target:7d} {item.lost:5d} {item.shortfall_s:8.0f} "
        f"{item.recovery_s:7.0f} {item.min_recovery_s:12.0f} {item.operations:15.1f}"
        for item in repairs
    )
    return "\n".join(lines)
