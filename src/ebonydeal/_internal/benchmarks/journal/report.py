"""Runs all measurements in order and formats the results as text."""

from ebonydeal._internal.benchmarks.journal.rounds import (
    Accepts,
    measure_accepts,
    measure_idle,
    measure_replays,
    measure_takeover,
    one_request_per_write,
)
from ebonydeal._internal.settings.journal import JournalSettings

BUSY_ACCEPTS_PER_S = 500.0
LIGHT_ACCEPTS_PER_S = 2.0
REPLAY_LENGTHS = (100, 1000, 5000)
IDLE_NODES = (3, 9, 18)
IDLE_DURATION_S = 15.0


def _accepts_line(item: Accepts) -> str:
    return (
        f"{item.name:<34} {item.accepted:>8} {item.refused:>7} {item.rows_put:>6}"
        f" {item.transactions:>6} {item.per_write:>9.1f}"
        f" {item.rows_put / item.seconds:>8.1f}"
        f" {item.p50 * 1000:>8.1f} {item.p99 * 1000:>8.1f}"
    )


async def measure(seconds: float, latency: float, seed: int) -> list[str]:
    """Run all measurements and return the lines of the report."""
    cfg = JournalSettings()
    lines = [
        f"journal: seed {seed}, table latency {latency * 1000:g} ms, {cfg.shards} "
        f"shards, 9 processes,",
        f"write budget {cfg.writes_per_s:g}/s patient and "
        f"{cfg.urgent_writes_per_s:g}/s urgent, one processor.",
        "",
        f"{'durable accepts':<34} {'accepted':>8} {'refused':>7} {'rows':>6}"
        f" {'calls':>6} {'per row':>9} {'rows/s':>8} {'p50 ms':>8} {'p99 ms':>8}",
    ]
    unbatched_cfg = one_request_per_write(cfg)
    results = [
        await measure_accepts(
            "group, 500/s", cfg, BUSY_ACCEPTS_PER_S, seconds, latency, seed
        ),
        await measure_accepts(
            "group, 500/s, callers wait",
            cfg,
            BUSY_ACCEPTS_PER_S,
            seconds,
            latency,
            seed,
            True,
        ),
        await measure_accepts(
            "one a request, 500/s",
            unbatched_cfg,
            BUSY_ACCEPTS_PER_S,
            seconds,
            latency,
            seed,
        ),
        await measure_accepts(
            "group, 2/s", cfg, LIGHT_ACCEPTS_PER_S, seconds, latency, seed
        ),
        await measure_accepts(
            "one a request, 2/s",
            unbatched_cfg,
            LIGHT_ACCEPTS_PER_S,
            seconds,
            latency,
            seed,
        ),
    ]
    lines += [_accepts_line(item) for item in results]
    grouped, _, unbatched, light_grouped, light_unbatched = results
    row_ratio = grouped.per_write / unbatched.per_write
    added_ms = (light_grouped.p50 - light_unbatched.p50) * 1000
    lines += [
        f"fewer rows for each accepted request at 500/s: {row_ratio:.1f}x",
        f"added latency of group commit at 2/s, median: {added_ms:.2f} ms",
        "",
        f"{'replay, rows since the start':<34} {'snapshot':>8} {'read':>7} {'s':>8}",
    ]
    for item in await measure_replays(cfg, REPLAY_LENGTHS, latency, seed):
        snapshot = "yes" if item.snapshot else "no"
        lines.append(
            f"{item.rows:<34} {snapshot:>8} {item.rows_read:>7} {item.seconds:>8.3f}"
        )
    lines += ["", f"{'takeover after':<34} {'shards':>8} {'s':>8}"]
    for graceful in (False, True):
        takeover = await measure_takeover(cfg, graceful, latency, seed)
        lines.append(
            f"{takeover.how:<34} {takeover.shards:>8} {takeover.seconds:>8.2f}"
        )
    lines += [
        "",
        f"{'idle nodes':<34} {'shards':>8} {'reads/s':>8} {'writes/s':>8}",
    ]
    for nodes in IDLE_NODES:
        idle = await measure_idle(cfg, nodes, IDLE_DURATION_S, latency, seed)
        lines.append(
            f"{idle.nodes:<34} {idle.shards:>8} {idle.reads_per_s:>8.2f}"
            f" {idle.writes_per_s:>8.2f}"
        )
    return lines
