"""The most that a window may hold, as a sum of terms."""

import pytest

from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.settings.relay import RelaySettings
from tests.lib.limits_cluster import limited_account


class TestSum:
    @pytest.mark.parametrize("window", [0.1, 2.0, 8.0, 60.0, 3600.0])
    @pytest.mark.parametrize("overshoot", [0.0, 0.01, 0.1, 1.0, 10.0])
    @pytest.mark.parametrize("slack", [0.0, 110_000.0, 1e9])
    @pytest.mark.parametrize(
        "account",
        [
            limited_account(0.5),
            limited_account(8.0),
            limited_account(60.0, burst=6.0),
            limited_account(512_150.0, in_tokens=True),
            limited_account(36_000.0, burst=1e6, in_tokens=True),
        ],
    )
    def test_stays_within_the_tolerance(self, window, overshoot, slack, account):
        assert QuotaBounds(window, overshoot, slack).fits(account)

    def test_fits_with_the_default_settings_of_a_relay(self):
        cfg = RelaySettings()
        bounds = QuotaBounds(cfg.quota_window_s, cfg.quota_overshoot, cfg.quota_slack)
        assert bounds.fits(limited_account(512_150.0, in_tokens=True))

    def test_each_term_is_positive(self):
        bounds = QuotaBounds(8.0, 0.1, 140_000.0)
        account = limited_account(512_150.0, in_tokens=True)
        names = [term.name for term in bounds.terms(account)]
        assert names == [
            "rate",
            "burst",
            "debt",
            "in_advance",
            "standby",
            "startup",
            "late",
        ]
        assert all(term.amount > 0.0 for term in bounds.terms(account))

    def test_requests_have_no_slack_in_tokens(self):
        bounds = QuotaBounds(8.0, 0.1, 140_000.0)
        assert bounds.tolerance(limited_account(60.0)) == pytest.approx(54.0)

    def test_without_tolerance_only_the_limit_remains(self):
        bounds, account = QuotaBounds(8.0, 0.0, 0.0), limited_account(60.0)
        assert sum(term.amount for term in bounds.terms(account)) == 540.0
        assert bounds.max_send_delay_s(account) == 0.0
