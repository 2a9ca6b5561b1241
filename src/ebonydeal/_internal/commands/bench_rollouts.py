"""``ebonydeal bench rollouts``: verdicts on modelled versions, good and bad."""

from pathlib import Path

import click

from ebonydeal._internal.benchmarks.rollouts.plot import save_plot
from ebonydeal._internal.benchmarks.rollouts.suite import (
    Variant,
    simulate_all,
    summarize,
    table,
)

# Seeds from here on are for judging: nothing was tuned on them.
JUDGING_FROM = 1_000_000
_TESTS = ("mixture", "one")
_PLANS = ("steady", "loaded")


@click.command("rollouts")
@click.option("--count", type=click.IntRange(10, 100_000), default=1000)
@click.option("--seed", type=int, default=0, show_default=True, help="The first one.")
@click.option("--judging", is_flag=True, help="Play the seeds kept for judging.")
@click.option("--test", type=click.Choice([*_TESTS, "all"]), default="mixture")
@click.option("--plan", type=click.Choice([*_PLANS, "all"]), default="all")
@click.option("--jobs", type=click.IntRange(1, 16), default=2, show_default=True)
@click.option(
    "--output",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Directory for the same as text and as a plot.",
)
def rollouts_command(
    count: int,
    seed: int,
    judging: bool,
    test: str,
    plan: str,
    jobs: int,
    output: Path | None,
) -> None:
    """Play modelled roll-outs through the real decision, each way on the same seeds.

    ``over`` counts bad versions that got more requests than their bound, ``late``
    those that got some later than 5 s after their 50th bad answer, ``wrong`` good
    ones that were rolled back, ``passed`` bad ones that were completed, ``overdue``
    verdicts after the order's end. ``exposed`` and ``worst`` are parts of the bound.
    """
    first = seed + JUDGING_FROM if judging else seed
    text = [f"seeds {first} to {first + count - 1}"]
    results = {}
    for chosen in _TESTS if test == "all" else (test,):
        for how in _PLANS if plan == "all" else (plan,):
            name = f"{chosen}, {how}"
            variant = Variant(chosen, how)
            results[name] = simulate_all(range(first, first + count), variant, jobs)
            text.append(f"{name}\n{table(summarize(results[name]))}")
    click.echo("\n\n".join(text))
    if output is None:
        return
    output.mkdir(parents=True, exist_ok=True)
    (output / "rollouts.txt").write_text("\n\n".join(text) + "\n")
    if not save_plot(results, output / "rollouts.png"):
        click.echo("no plot: matplotlib is not installed", err=True)
