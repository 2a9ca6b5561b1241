"""Plot of the exposure of bad versions; needs the extra ``bench``."""

from pathlib import Path

from ebonydeal._internal.benchmarks.rollouts.service_model import Fault
from ebonydeal._internal.benchmarks.rollouts.suite import RolloutResult


def save_plot(results: dict[str, list[RolloutResult]], path: Path) -> bool:
    """Write a PNG; return False where matplotlib is not installed.

    Shows for each variant the distribution of exposure over the bad versions.
    """
    try:
        import matplotlib
    except ImportError:
        return False
    matplotlib.use("Agg")
    from matplotlib import pyplot

    fig, axis = pyplot.subplots(figsize=(7, 4))
    for name, of_variant in results.items():
        exposures = sorted(
            result.exposed
            for result in of_variant
            if result.case.fault is not Fault.NONE
        )
        shares = [(place + 1) / len(exposures) for place in range(len(exposures))]
        axis.plot(exposures, shares, label=name)
    axis.axvline(1.0, color="black", linestyle="--")
    axis.set_xlabel("requests that a bad version got, of its bound")
    axis.set_ylabel("part of the roll-outs")
    axis.legend()
    fig.tight_layout()
    fig.savefig(path)
    pyplot.close(fig)
    return True
