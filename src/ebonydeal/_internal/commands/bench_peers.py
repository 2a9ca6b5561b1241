"""``ebonydeal bench peers``: cost of gossip rounds between ebonydeal processes."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

import click

from ebonydeal._internal.benchmarks.peers.loopback import Loopback, measure_loopback
from ebonydeal._internal.benchmarks.peers.suite import (
    LOSSES,
    SIZES,
    SPREAD_SIZES,
    Spread,
    Traffic,
    measure_spread,
    measure_traffic,
    slope,
)

_MAX_BYTES_PER_S = 4096
_LOOPBACK_SIZES = (3, 9, 24)
_LOOPBACK_S = 6.0


def _traffic_table(rows: Sequence[Traffic], title: str) -> str:
    lines = [title, "nodes   mean B/s  worst B/s  cpu us/s"]
    for row in rows:
        lines.append(
            f"{row.nodes:>5} {row.mean:>10,.0f} {row.worst:>10,.0f} {row.cpu_us:>9,.0f}"
        )
    per_node, fixed = slope([(row.nodes, row.mean) for row in rows])
    lines.append(f"line: {fixed:,.0f} B/s + {per_node:.2f} B/s for each node")
    per_node, fixed = slope([(row.nodes, row.cpu_us) for row in rows])
    lines.append(f"line: {fixed:,.0f} us/s + {per_node:.2f} us/s for each node")
    return "\n".join(lines)


def _spread_table(rows: Sequence[Spread]) -> str:
    lines = [
        "a zone's mark from one node to all; worst over seeds",
        "nodes  lost  half know s  all know s  unreached  bytes a node in 3 s",
    ]
    for row in rows:
        lines.append(
            f"{row.nodes:>5} {row.loss:>5.0%} {row.median_s:>12.2f} "
            f"{row.last_s:>11.2f} {row.unreached:>10} {row.bytes_per_node:>20,.0f}"
        )
    return "\n".join(lines)


def _loopback_table(rows: Sequence[Loopback]) -> str:
    lines = [
        "real services on loopback, all in this process",
        "nodes  mean B/s  cpu us/s  a mark reaches all s",
    ]
    for row in rows:
        lines.append(
            f"{row.nodes:>5} {row.bytes_per_s:>9,.0f} {row.cpu_us:>9,.0f} "
            f"{row.spread_s:>21.3f}"
        )
    return "\n".join(lines)


@click.command("peers")
@click.option("--seed", type=int, default=1, help="First seed.")
@click.option("--runs", type=click.IntRange(1, 50), default=3, help="Seeds per row.")
@click.option(
    "--output",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Directory for the tables as text.",
)
def peers_command(seed: int, runs: int, output: Path | None) -> None:
    """Measure bytes, processor time and spread of gossip rounds by group size.

    The real messages are exchanged in one process without sockets, and by a few real
    services on loopback.
    """
    real = [asyncio.run(measure_loopback(n, _LOOPBACK_S)) for n in _LOOPBACK_SIZES]
    bare = [measure_traffic(size, seed, with_demand=False) for size in SIZES]
    full = [measure_traffic(size, seed, with_demand=True) for size in SIZES]
    seeds = range(seed, seed + runs)
    spreads = [
        measure_spread(size, loss, seeds) for size in SPREAD_SIZES for loss in LOSSES
    ]
    worst = max(row.worst for row in full)
    verdict = "met" if worst <= _MAX_BYTES_PER_S else "NOT MET"
    last_s = max(row.last_s for row in spreads)
    text = "\n\n".join(
        [
            f"ebonydeal bench peers --seed {seed} --runs {runs}",
            _traffic_table(
                bare, "membership, marks and an empty instance list, nothing new"
            ),
            _traffic_table(full, "with demand of 5 client accounts"),
            _spread_table(spreads),
            _loopback_table(real),
            f"worst node {worst:,.0f} B/s, at most {_MAX_BYTES_PER_S:,}: {verdict}\n"
            f"last node knows a mark after {last_s:.2f} s, at most 3: "
            f"{'met' if last_s <= 3.0 else 'NOT MET'}",
        ]
    )
    click.echo(text)
    if output is not None:
        output.mkdir(parents=True, exist_ok=True)
        (output / "peers.txt").write_text(text + "\n")
