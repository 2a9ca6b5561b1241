"""``ebonydeal bench rollouts``: verdicts on simulated versions, healthy and faulty."""

from pathlib import Path

import click

from ebonydeal._internal.benchmarks.rollouts.plot import save_plot
from ebonydeal._internal.benchmarks.rollouts.suite import (
    Variant,
    simulate_all,
    summarize,
    table,
)

# Seeds from here on are reserved for the final evaluation, not for tuning.
JUDGING_FROM = 1_000_000
_TESTS = ("mixture", "one")
_PLANS = ("steady", "loaded")


@click.command("rollouts")
@click.option("--count", type=click.IntRange(10, 100_000), default=1000)
@click.option("--seed", type=int, default=0, show_default=True, help="First seed.")
@click.option(
    "--judging", is_flag=True, help="Use the seeds reserved for the final evaluation."
)
@click.option("--test", type=click.Choice([*_TESTS, "all"]), default="mixture")
@click.option("--plan", type=click.Choice([*_PLANS, "all"]), default="all")
@click.option("--jobs", type=click.IntRange(1, 16), default=2, show_default=True)
@click.option(
    "--output",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Directory for the tables as text and a plot.",
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
    """Run simulated roll-outs through the real decision logic, with the same seeds.

    ``over`` counts faulty versions that got more requests than their bound, ``late``
    those that got requests over 5 s after their 50th bad response, ``wrong`` healthy
    ones that were rolled back, ``passed`` faulty ones that were completed, ``overdue``
    verdicts after the deadline. ``exposed`` and ``worst`` are fractions of the bound.
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
