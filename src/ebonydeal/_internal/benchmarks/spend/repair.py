"""Time from a zone's loss to strength back, by the real controller."""

from typing import NamedTuple

from ebonydeal._internal.benchmarks.spend.fleet_run import ROUND_S, FleetRun
from ebonydeal._internal.benchmarks.spend.world import WorldTimes

NOTICE_S = 30.0
_MOST_S = 3600.0


class Repair(NamedTuple):
    """One zone's loss, in simulated seconds from the notice.

    Attributes
    ----------
    target, lost : int
        Replicas needed, and instances taken.
    below_s : float
        Time with fewer replicas than the target.
    back_s : float
        Until the loss of a further zone could be borne again.
    floor_s : float
        What no controller can save: boot and load.
    operations : float
        Table operations for each instance taken.
    """

    target: int
    lost: int
    below_s: float
    back_s: float
    floor_s: float
    operations: float


async def lose_a_zone(
    target: int, seed: int, notice_s: float = NOTICE_S, times: WorldTimes | None = None
) -> Repair:
    """Fill a fleet, take a zone from it, and time the way back."""
    run = FleetRun(target, seed, times)
    await run.fill()
    await run.rounds(10)
    zone = run.world.live()[0].offer.zone
    before = run.table_operations
    held = [item for item in run.world.live() if item.offer.zone == zone]
    began = run.clock.now()
    if notice_s > 0:
        run.world.reclaim_zone(zone, notice_s)
    run.world.full.add((zone, True))
    taken = False
    below = 0.0
    while True:
        if not taken and run.clock.now() - began >= notice_s:
            run.world.take_zone(zone)
            taken = True
        await run.rounds(1)
        below += ROUND_S * (run.serving() < target)
        passed = run.clock.now() - began
        if taken and run.standing() >= target or passed > _MOST_S:
            break
    floor = run.world.times.boot + run.world.times.load
    used = (run.table_operations - before) / max(1, len(held))
    return Repair(target, len(held), below, passed, floor, used)


def repair_table(repairs: list[Repair]) -> str:
    """Return the table as text."""
    lines = [
        f"{'target':>7} {'lost':>5} {'below s':>8} {'back s':>7} "
        f"{'boot+load s':>12} {'table ops/lost':>15}"
    ]
    lines.extend(
        f"{item.target:7d} {item.lost:5d} {item.below_s:8.0f} {item.back_s:7.0f} "
        f"{item.floor_s:12.0f} {item.operations:15.1f}"
        for item in repairs
    )
    return "\n".join(lines)
