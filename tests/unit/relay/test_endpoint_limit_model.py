"""An endpoint's limit holds under any loss, partition, suspension or announcement."""

from itertools import product
from random import Random

import pytest

from ebonydeal._internal.models.forwarding import EndpointProcess
from ebonydeal._internal.routing.limits.endpoint_limits import (
    ENDPOINT_BOUNDS,
    limit_account,
    max_requests_per_window,
)
from tests.lib.endpoint_limit_model import EndpointModel
from tests.unit.relay.test_shares_model import faults_of, heal


class TestBounds:
    @pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 1.4, 8.0, 60.0, 5000.0])
    def test_terms_fit_what_the_endpoint_accepts(self, limit):
        account = limit_account(EndpointProcess("i1", 0), limit)
        allowed = ENDPOINT_BOUNDS.limit(account) + ENDPOINT_BOUNDS.tolerance(account)
        assert ENDPOINT_BOUNDS.fits(account)
        assert allowed <= max_requests_per_window(max(limit, account.rate)) + 1e-9

    def test_limit_of_zero_still_admits_requests_that_reveal_its_end(self):
        account = limit_account(EndpointProcess("i1", 0), 0.0)
        assert account.rate > 0.0
        # Nothing of these limits is granted in advance or held by a standby.
        terms = {term.name: term.amount for term in ENDPOINT_BOUNDS.terms(account)}
        used = sum(terms[name] for name in ("rate", "burst", "debt", "late"))
        assert used <= max_requests_per_window(0.0)


def faults_and_announcements(names):
    """Return all faults and announcements by name."""
    faults = faults_of(names)
    faults["names 1"] = lambda model: model.announce(1.0)
    faults["names 4"] = lambda model: model.announce(4.0)
    faults["names none"] = lambda model: model.announce(None)
    return faults


def started_model(names, seconds=6.0):
    model = EndpointModel(names)
    model.idle = True
    model.run(seconds)
    model.idle = False
    model.announce(2.0)
    model.run(2.0)
    return model


def run_series(names, series, faults, pause):
    model = started_model(names)
    try:
        for fault in series:
            faults[fault](model)
            model.run(pause)
        heal(model)
        model.run(4.0)
        model.check_limit()
    except AssertionError as exc:
        raise AssertionError(series) from exc


class TestEverySeries:
    @pytest.mark.parametrize("pause", [0.4, 1.6, 4.0])
    def test_of_two_events_at_three_relays(self, pause):
        names = ("a", "b", "c")
        faults = faults_and_announcements(names)
        for series in product(faults, repeat=2):
            run_series(names, series, faults, pause)

    def test_of_three_events_at_two_relays(self):
        names = ("a", "b")
        faults = faults_and_announcements(names)
        for series in product(faults, repeat=3):
            run_series(names, series, faults, 0.8)


class TestRandomSeries:
    @pytest.mark.parametrize(
        ("relays", "seed"),
        [*((9, seed) for seed in range(8)), (68, 11), (87, 12), (195, 13)],
    )
    def test_at_the_sizes_of_deployments(self, relays, seed):
        rng = Random(seed)
        names = [f"n{number}" for number in range(relays)]
        model = started_model(names, 8.0)
        faults = faults_and_announcements(rng.sample(names, 4))
        for _ in range(40 if relays < 20 else 15):
            if rng.random() < 0.15:
                for name in rng.sample(names, relays // 3):
                    model.kill(name)
            if rng.random() < 0.3:
                heal(model)
                for name in names:
                    model.start(name)
            faults[rng.choice(list(faults))](model)
            model.run(rng.choice([0.4, 0.8, 2.0]))
        model.check_limit()


class TestWithoutFaults:
    @pytest.mark.parametrize(("relays", "limit"), [(3, 1.0), (9, 4.0), (68, 20.0)])
    def test_endpoint_gets_as_many_requests_as_its_limit(self, relays, limit):
        model = started_model([f"n{number}" for number in range(relays)], 8.0)
        model.announce(limit)
        model.run(12.0)
        started_at = model.clock.now()
        model.run(20.0)
        count = sum(at > started_at for at in model.sent)
        assert 0.9 * limit * 20.0 <= count <= 1.1 * limit * 20.0 + 2.0

    def test_all_relays_learn_of_the_end_of_a_limit(self):
        model = started_model([f"n{number}" for number in range(9)], 8.0)
        model.announce(None)
        model.run(4.0)
        now = model.clock.now()
        known = [r.notices.active_limits(now) for r in model.running.values()]
        assert not any(known)
