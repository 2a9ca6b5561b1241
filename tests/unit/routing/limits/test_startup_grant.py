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
MOST = BOUNDS.startup(ACCOUNT) / MAX_STARTUP_GRANTS


@pytest.fixture
def startup():
    """A holder's, begun at 50.0 s, with none before."""
    startup = StartupGrant(BOUNDS)
    startup.load([], 500.0)
    assert startup.request()
    startup.begin_write(50.0, 450.0)
    startup.confirm_write()
    return startup


class TestAmount:
    def test_is_used_up_by_account(self, startup):
        assert startup.take(ACCOUNT, 0.7 * MOST, 50.1)
        assert not startup.take(ACCOUNT, 0.4 * MOST, 50.2)
        assert startup.take(ACCOUNT._replace(name="other"), 0.4 * MOST, 50.2)

    def test_lapses(self, startup):
        assert not startup.take(ACCOUNT, 1.0, 50.0 + STARTUP_GRANT_TTL_S)

    def test_is_there_once_it_lies_in_the_store(self):
        startup = StartupGrant(BOUNDS)
        startup.load([], 500.0)
        startup.request()
        assert not startup.take(ACCOUNT, 1.0, 50.0)
        startup.begin_write(50.0, 450.0)
        assert not startup.take(ACCOUNT, 1.0, 50.0)
        startup.confirm_write()
        assert startup.take(ACCOUNT, 1.0, 50.1)

    def test_lapses_by_when_its_write_began(self):
        startup = StartupGrant(BOUNDS)
        startup.load([], 500.0)
        startup.request()
        startup.begin_write(50.0, 450.0)
        # The answer came late.
        startup.confirm_write()
        assert not startup.take(ACCOUNT, 1.0, 52.1)


class TestSpacing:
    @pytest.mark.parametrize(
        ("begun", "allowed"),
        [
            ([499.0], True),
            ([495.0, 499.0], False),
            ([489.1, 499.0], False),
            ([489.0, 499.0], True),
        ],
    )
    def test_two_a_window_and_the_time_that_they_are_used(self, begun, allowed):
        startup = StartupGrant(BOUNDS)
        startup.load(begun, 500.0)
        assert startup.request() is allowed

    def test_what_lies_in_the_store_is_the_last_two(self):
        startup = StartupGrant(BOUNDS)
        startup.load([100.0, 489.0, 499.0], 500.0)
        startup.request()
        assert startup.begin_write(50.0, 450.0) == [499.0, 500.0]

    def test_a_store_whose_clock_went_back_allows_none(self):
        startup = StartupGrant(BOUNDS)
        startup.load([899.0, 900.0], 500.0)
        assert not startup.request()

    def test_one_by_holder(self, startup):
        assert not startup.request()
