"""Exposure of bad versions as a picture; needs the extra ``bench``."""

from pathlib import Path

from ebonydeal._internal.benchmarks.rollouts.suite import Came
from ebonydeal._internal.benchmarks.rollouts.world import Fault


def save_plot(came: dict[str, list[Came]], path: Path) -> bool:
    """Write a PNG; return False where matplotlib is not installed.

    For each way, how many bad versions got up to which part of their bound.
    """
    try:
        import matplotlib
    except ImportError:
        return False
    matplotlib.use("Agg")
    from matplotlib import pyplot

    fig, axis = pyplot.subplots(figsize=(7, 4))
    for name, all_of in came.items():
        parts = sorted(c.exposed for c in all_of if c.case.fault is not Fault.NONE)
        shares = [(place + 1) / len(parts) for place in range(len(parts))]
        axis.plot(parts, shares, label=name)
    axis.axvline(1.0, color="black", linestyle="--")
    axis.set_xlabel("requests that a bad version got, of its bound")
    axis.set_ylabel("part of the roll-outs")
    axis.legend()
    fig.tight_layout()
    fig.savefig(path)
    pyplot.close(fig)
    return True
