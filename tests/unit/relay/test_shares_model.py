"""No share of a limit is used twice under any loss, partition or suspension.

All series of a few faults at two and three relays, and random long series at the sizes
of deployments. In each step as much as possible is admitted.
"""

from itertools import product
from random import Random

import pytest

from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from tests.lib.limits_cluster import limited_account
from tests.lib.shares_model import SharesModel

BOUNDS = QuotaBounds(4.0, 0.1, 0.0)
TOKENS = QuotaBounds(8.0, 0.1, 140_000.0)


def faults_of(names):
    """Return the faults by name, each a function that applies it to a model."""
    faults = {"none": lambda model: None}
    for name in names:
        faults[f"kill {name}"] = lambda model, n=name: model.kill(n)
        faults[f"start {name}"] = lambda model, n=name: model.start(n)
        faults[f"pause {name}"] = lambda model, n=name: model.paused.add(n)
        faults[f"cut {name}"] = lambda model, n=name: model.partitioned.add(n)
    faults["restart all"] = _restart_all
    faults["heal"] = heal
    faults["store"] = lambda model: setattr(model, "store_down", True)
    faults["words"] = lambda model: setattr(model, "lose_reports", True)
    faults["replies"] = lambda model: setattr(model, "lose_replies", True)
    faults["answers"] = lambda model: setattr(model, "lose_store_answers", True)
    return faults


def _restart_all(model):
    for name in list(model.running):
        model.kill(name)
        model.start(name)


def heal(model):
    model.paused.clear()
    model.partitioned.clear()
    model.store_down = model.lose_reports = model.lose_replies = False
    model.lose_store_answers = False


def started_model(names, account, bounds, size, seconds=6.0):
    model = SharesModel(names, account, bounds, size)
    model.idle = True
    model.run(seconds)
    model.idle = False
    return model


def run_series(names, series, faults, pause):
    """Run one series of faults; a failure names the series."""
    model = started_model(names, limited_account(6.0), BOUNDS, 1.0)
    try:
        for fault in series:
            faults[fault](model)
            model.run(pause)
        heal(model)
        model.run(2.0)
        model.check_limit()
    except AssertionError as exc:
        raise AssertionError(series) from exc


class TestEverySeries:
    @pytest.mark.parametrize("pause", [0.4, 1.6, 4.0])
    def test_of_two_faults_at_three_relays(self, pause):
        names = ("a", "b", "c")
        faults = faults_of(names)
        for series in product(faults, repeat=2):
            run_series(names, series, faults, pause)

    def test_of_three_faults_at_two_relays(self):
        names = ("a", "b")
        faults = faults_of(names)
        for series in product(faults, repeat=3):
            run_series(names, series, faults, 1.2)


class TestRandomSeries:
    def run(self, relays, account, bounds, size, seed, steps=40):
        rng = Random(seed)
        names = [f"n{number}" for number in range(relays)]
        model = started_model(names, account, bounds, size, 8.0)
        faults = faults_of(rng.sample(names, min(4, relays)))
        kinds = list(faults)
        for _ in range(steps):
            if rng.random() < 0.15:
                for name in rng.sample(names, relays // 3):
                    faults[f"kill {name}"] = lambda m, n=name: m.kill(n)
                    faults[f"kill {name}"](model)
            if rng.random() < 0.3:
                heal(model)
                for name in names:
                    model.start(name)
            if rng.random() < 0.1:
                model.start(f"new{rng.randrange(20)}")
            faults[rng.choice(kinds)](model)
            model.run(rng.choice([0.4, 0.8, 2.0]))
        model.check_limit()
        return model

    @pytest.mark.parametrize("seed", range(12))
    def test_requests_at_nine(self, seed):
        self.run(9, limited_account(60.0), BOUNDS, 1.0, seed)

    @pytest.mark.parametrize("seed", range(6))
    def test_tokens_at_nine(self, seed):
        account = limited_account(120_000.0, in_tokens=True)
        self.run(9, account, TOKENS, 22_000.0, seed)

    @pytest.mark.parametrize(("relays", "seed"), [(68, 1), (87, 2), (87, 3), (195, 4)])
    def test_tokens_at_hundreds(self, relays, seed):
        account = limited_account(512_150.0, in_tokens=True)
        self.run(relays, account, TOKENS, 9_000.0, seed, steps=15)
