"""An endpoint's limit holds, whatever is lost, cut off, suspended or said meanwhile."""

from itertools import product
from random import Random

import pytest

from ebonydeal._internal.models.forwarding import EndpointProcess
from ebonydeal._internal.routing.limits.endpoint_limits import (
    ENDPOINT_BOUNDS,
    bears,
    limit_account,
)
from tests.lib.endpoint_limit_model import EndpointModel
from tests.unit.relay.test_shares_model import _heal, faults_of


class TestSum:
    @pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 1.4, 8.0, 60.0, 5000.0])
    def test_fits_what_the_endpoint_bears(self, limit):
        account = limit_account(EndpointProcess("i1", 0), limit)
        allowed = ENDPOINT_BOUNDS.limit(account) + ENDPOINT_BOUNDS.tolerated(account)
        assert ENDPOINT_BOUNDS.fits(account)
        assert allowed <= bears(max(limit, account.rate)) + 1e-9

    def test_of_no_requests_at_all_leaves_room_to_hear_of_its_end(self):
        account = limit_account(EndpointProcess("i1", 0), 0.0)
        assert account.rate > 0.0
        # Nothing of these limits is granted in advance, or lies at a stand-in.
        terms = {term.name: term.amount for term in ENDPOINT_BOUNDS.terms(account)}
        used = sum(terms[name] for name in ("rate", "burst", "debt", "late"))
        assert used <= bears(0.0)


def faults_and_words(names):
    """Return all faults, and what the endpoint may name."""
    faults = faults_of(names)
    faults["names 1"] = lambda model: model.name(1.0)
    faults["names 4"] = lambda model: model.name(4.0)
    faults["names none"] = lambda model: model.name(None)
    return faults


def warmed(names, seconds=6.0):
    model = EndpointModel(names)
    model.calm = True
    model.play(seconds)
    model.calm = False
    model.name(2.0)
    model.play(2.0)
    return model


def play_series(names, series, faults, pause):
    model = warmed(names)
    try:
        for fault in series:
            faults[fault](model)
            model.play(pause)
        _heal(model)
        model.play(4.0)
        model.check_limit()
    except AssertionError as exc:
        raise AssertionError(series) from exc


class TestEverySeries:
    @pytest.mark.parametrize("pause", [0.4, 1.6, 4.0])
    def test_of_two_at_three_relays(self, pause):
        names = ("a", "b", "c")
        faults = faults_and_words(names)
        for series in product(faults, repeat=2):
            play_series(names, series, faults, pause)

    def test_of_three_at_two_relays(self):
        names = ("a", "b")
        faults = faults_and_words(names)
        for series in product(faults, repeat=3):
            play_series(names, series, faults, 0.8)


class TestRandomSeries:
    @pytest.mark.parametrize(
        ("relays", "seed"),
        [*((9, seed) for seed in range(8)), (68, 11), (87, 12), (195, 13)],
    )
    def test_at_the_sizes_of_deployments(self, relays, seed):
        rng = Random(seed)
        names = [f"n{number}" for number in range(relays)]
        model = warmed(names, 8.0)
        faults = faults_and_words(rng.sample(names, 4))
        for _ in range(40 if relays < 20 else 15):
            if rng.random() < 0.15:
                for name in rng.sample(names, relays // 3):
                    model.kill(name)
            if rng.random() < 0.3:
                _heal(model)
                for name in names:
                    model.start(name)
            faults[rng.choice(list(faults))](model)
            model.play(rng.choice([0.4, 0.8, 2.0]))
        model.check_limit()


class TestCalm:
    @pytest.mark.parametrize(("relays", "limit"), [(3, 1.0), (9, 4.0), (68, 20.0)])
    def test_the_endpoint_gets_what_it_takes(self, relays, limit):
        model = warmed([f"n{number}" for number in range(relays)], 8.0)
        model.name(limit)
        model.play(12.0)
        begun = model.clock.now()
        model.play(20.0)
        came = sum(at > begun for at in model.sent)
        assert 0.9 * limit * 20.0 <= came <= 1.1 * limit * 20.0 + 2.0

    def test_its_end_is_known_to_all_soon(self):
        model = warmed([f"n{number}" for number in range(9)], 8.0)
        model.name(None)
        model.play(4.0)
        now = model.clock.now()
        known = [r.notices.limited(now) for r in model.running.values()]
        assert not any(known)
