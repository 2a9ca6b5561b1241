"""All rounds in their order, and their figures as text."""

from ebonydeal._internal.benchmarks.journal.rounds import (
    Accepts,
    accepts,
    idle,
    one_a_request,
    replays,
    takeover,
)
from ebonydeal._internal.settings.journal import JournalSettings

BUSY_RATE = 500.0
LIGHT_RATE = 2.0
LENGTHS = (100, 1000, 5000)
IDLE_NODES = (3, 9, 18)
IDLE_S = 15.0


def _accepts_line(item: Accepts) -> str:
    return (
        f"{item.name:<34} {item.accepted:>8} {item.refused:>7} {item.rows_put:>6}"
        f" {item.transactions:>6} {item.per_write:>9.1f}"
        f" {item.rows_put / item.seconds:>8.1f}"
        f" {item.p50 * 1000:>8.1f} {item.p99 * 1000:>8.1f}"
    )


async def measure(seconds: float, latency: float, seed: int) -> list[str]:
    """Run all rounds and return the lines of the report."""
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
    alone = one_a_request(cfg)
    busy = [
        await accepts("group, 500/s", cfg, BUSY_RATE, seconds, latency, seed),
        await accepts(
            "group, 500/s, callers wait", cfg, BUSY_RATE, seconds, latency, seed, True
        ),
        await accepts("one a request, 500/s", alone, BUSY_RATE, seconds, latency, seed),
        await accepts("group, 2/s", cfg, LIGHT_RATE, seconds, latency, seed),
        await accepts("one a request, 2/s", alone, LIGHT_RATE, seconds, latency, seed),
    ]
    lines += [_accepts_line(item) for item in busy]
    group, _, single, light, plain = busy
    fewer = group.per_write / single.per_write
    added = (light.p50 - plain.p50) * 1000
    lines += [
        f"fewer rows for each accepted request at 500/s: {fewer:.1f}x",
        f"added latency of group commit at 2/s, median: {added:.2f} ms",
        "",
        f"{'replay, rows since the start':<34} {'snapshot':>8} {'read':>7} {'s':>8}",
    ]
    for item in await replays(cfg, LENGTHS, latency, seed):
        word = "yes" if item.snapshot else "no"
        lines.append(
            f"{item.rows:<34} {word:>8} {item.rows_read:>7} {item.seconds:>8.3f}"
        )
    lines += ["", f"{'takeover after':<34} {'shards':>8} {'s':>8}"]
    for graceful in (False, True):
        found = await takeover(cfg, graceful, latency, seed)
        lines.append(f"{found.how:<34} {found.shards:>8} {found.seconds:>8.2f}")
    lines += ["", f"{'idle nodes':<34} {'shards':>8} {'reads/s':>8} {'writes/s':>8}"]
    for nodes in IDLE_NODES:
        calm = await idle(cfg, nodes, IDLE_S, latency, seed)
        lines.append(
            f"{calm.nodes:<34} {calm.shards:>8} {calm.reads_per_s:>8.2f}"
            f" {calm.writes_per_s:>8.2f}"
        )
    return lines
