"""Runs strikes on their path."""

import random
from typing import NamedTuple

from tests.lib.matrix import Column, Strike, run_cell
from tests.lib.matrix_config import run_config
from tests.lib.matrix_journal import run_journal
from tests.lib.matrix_orders import run_order
from tests.lib.matrix_table import CHECKS_FENCE, JOURNAL_COLUMNS, cells

SEED = 20
JOURNAL_PAIRS = 60
CONFIG_PAIRS = 16
ORDER_PAIRS = 16
TWICE_SHARE = 0.25


class Verdict(NamedTuple):
    """Result of strikes: broken promises, and strikes whose step never occurred."""

    broken: list[str]
    pending: list[Strike]


def run_strikes(strikes: tuple[Strike, ...]) -> Verdict:
    """Run the path of the strikes, which must all be on the same path."""
    column = strikes[0].column
    if column in JOURNAL_COLUMNS:
        return Verdict(*run_cell(run_journal(strikes)))
    if column is Column.ORDER:
        checks_fence = strikes[0].victim == CHECKS_FENCE
        return Verdict(*run_cell(run_order(strikes, checks_fence)))
    return Verdict(*run_cell(run_config(strikes)))


def sampled_pairs() -> list[tuple[Strike, Strike]]:
    """Return pairs of strikes on one path; some pairs have the same fault twice."""
    rng = random.Random(SEED)
    single = [strike for cell in cells() for strike in cell.strikes]
    journal = [item for item in single if item.column in JOURNAL_COLUMNS]
    config = [item for item in single if item.column in _CONFIG]
    pairs = [_pair(rng, journal) for _ in range(JOURNAL_PAIRS)]
    pairs += [_pair(rng, config) for _ in range(CONFIG_PAIRS)]
    for number in range(ORDER_PAIRS):
        victims = {item.victim for item in single if item.column is Column.ORDER}
        victim = sorted(victims)[number % 2]
        orders = [item for item in single if item.victim == victim]
        pairs.append(_pair(rng, orders))
    return pairs


_CONFIG = (Column.CONFIG_COMMIT, Column.CONFIG_SPREAD)


def _pair(rng: random.Random, strikes: list[Strike]) -> tuple[Strike, Strike]:
    first = rng.choice(strikes)
    if rng.random() < TWICE_SHARE:
        same = [item for item in strikes if item.row is first.row]
        return first, rng.choice(same)
    return first, rng.choice(strikes)
