"""Plot of the sensitivity of routing; needs the extra ``bench``."""

from collections.abc import Sequence
from pathlib import Path

from ebonydeal._internal.benchmarks.routing.report import Point


def save_plot(points: Sequence[Point], path: Path) -> bool:
    """Write a PNG; return False where matplotlib is not installed."""
    try:
        import matplotlib
    except ImportError:
        return False
    matplotlib.use("Agg")
    from matplotlib import pyplot

    users = sorted({point.user for point in points})
    kinds = ("lag", "loss")
    fig, axes = pyplot.subplots(
        len(users), len(kinds), figsize=(10, 4 * len(users)), squeeze=False
    )
    for row, user in enumerate(users):
        for column, kind in enumerate(kinds):
            chosen = [
                item for item in points if (item.user, item.parameter) == (user, kind)
            ]
            if not chosen:
                continue
            _draw(axes[row][column], chosen, f"{user}: {kind}")
    fig.tight_layout()
    fig.savefig(path)
    pyplot.close(fig)
    return True


def _draw(axis, points: Sequence[Point], title: str) -> None:  # type: ignore[no-untyped-def]
    """Draw one line for each policy, with confidence intervals."""
    for policy in sorted({point.policy for point in points}):
        line = [point for point in points if point.policy == policy]
        axis.errorbar(
            [point.value for point in line],
            [point.recomputed.mean for point in line],
            yerr=[point.recomputed.half_width for point in line],
            label=policy,
            marker="o",
        )
    axis.set_title(title)
    axis.set_ylabel("recomputed kilotokens")
    axis.set_ylim(bottom=0)
    axis.legend()
