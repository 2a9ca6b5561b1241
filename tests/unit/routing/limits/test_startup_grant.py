import pytest

from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.startup_grant import (
    MAX_STARTUP_GRANTS,
    STARTUP_GRANT_TTL_S,
    StartupGrant,
)
from tests.lib.limits_cluster import limited_account

BOUNDS = QuotaBounds(8.0, 0.1, 0.0)
ACCOUNT = limited_account(100.0)
MAX_AMOUNT = BOUNDS.startup(ACCOUNT) / MAX_STARTUP_GRANTS


@pytest.fixture
def startup():
    """A lease holder's first startup grant, started at 50.0 s."""
    startup = StartupGrant(BOUNDS)
    startup.load([], 500.0)
    assert startup.request()
    startup.begin_write(50.0, 450.0)
    startup.confirm_write()
    return startup


class TestAmount:
    def test_is_bounded_for_each_account(self, startup):
        assert startup.take(ACCOUNT, 0.7 * MAX_AMOUNT, 50.1)
        assert not startup.take(ACCOUNT, 0.4 * MAX_AMOUNT, 50.2)
        assert startup.take(ACCOUNT._replace(name="other"), 0.4 * MAX_AMOUNT, 50.2)

    def test_expires(self, startup):
        assert not startup.take(ACCOUNT, 1.0, 50.0 + STARTUP_GRANT_TTL_S)

    def test_is_available_only_after_it_is_stored(self):
        startup = StartupGrant(BOUNDS)
        startup.load([], 500.0)
        startup.request()
        assert not startup.take(ACCOUNT, 1.0, 50.0)
        startup.begin_write(50.0, 450.0)
        assert not startup.take(ACCOUNT, 1.0, 50.0)
        startup.confirm_write()
        assert startup.take(ACCOUNT, 1.0, 50.1)

    def test_expiry_counts_from_the_start_of_its_write(self):
        startup = StartupGrant(BOUNDS)
        startup.load([], 500.0)
        startup.request()
        startup.begin_write(50.0, 450.0)
        # The answer came late.
        startup.confirm_write()
        assert not startup.take(ACCOUNT, 1.0, 52.1)


class TestSpacing:
    @pytest.mark.parametrize(
        ("started_at", "allowed"),
        [
            ([499.0], True),
            ([495.0, 499.0], False),
            ([489.1, 499.0], False),
            ([489.0, 499.0], True),
        ],
    )
    def test_at_most_two_in_a_window_and_their_ttl(self, started_at, allowed):
        startup = StartupGrant(BOUNDS)
        startup.load(started_at, 500.0)
        assert startup.request() is allowed

    def test_last_two_start_times_are_stored(self):
        startup = StartupGrant(BOUNDS)
        startup.load([100.0, 489.0, 499.0], 500.0)
        startup.request()
        assert startup.begin_write(50.0, 450.0) == [499.0, 500.0]

    def test_no_grant_if_the_clock_of_the_store_went_back(self):
        startup = StartupGrant(BOUNDS)
        startup.load([899.0, 900.0], 500.0)
        assert not startup.request()

    def test_one_grant_per_lease_holder(self, startup):
        assert not startup.request()
