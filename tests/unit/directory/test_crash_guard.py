"""A process stops sending a request after endpoints crashed under it."""

import pytest

from ebonydeal._internal.directory.crash_guard import CrashGuard
from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome
from ebonydeal._internal.observe.counters import Metrics
from tests.lib.clock import ManualClock
from tests.lib.gateway_fakes import view
from tests.unit.gateway.test_stream_runner import request

CRASHING = request()._replace(body_digest="fatal")
OTHER = request()._replace(body_digest="other")


class GuardFixture:
    """A crash guard over endpoints that crashed, or are alive."""

    def __init__(self, gone=True):
        self.clock = ManualClock(100.0)
        self.metrics = Metrics()
        self.gone = gone
        self.guard = CrashGuard(self.metrics, self.clock, self.refuses)

    async def refuses(self, _address, _seconds):
        return self.gone

    async def fail(self, request, times, kind=ErrorKind.ENDPOINT_FAILED):
        for number in range(times):
            self.clock._now += 1.0
            await self.guard.record_failure(request, view(f"e{number}"), kind)

    def check_error(self, request, ran=False):
        try:
            self.guard.check(request, ran)
        except EbonydealError as exc:
            return exc
        return None


class TestCheck:
    async def test_request_is_quarantined_after_the_third_crash(self):
        fixture = GuardFixture()
        await fixture.fail(CRASHING, 2)
        assert fixture.check_error(CRASHING) is None
        await fixture.fail(CRASHING, 3)
        error = fixture.check_error(CRASHING)
        assert error.kind is ErrorKind.REQUEST_QUARANTINED
        assert error.outcome is Outcome.NOT_RUN
        assert fixture.metrics.value("events", "requests_quarantined") == 1

    async def test_request_that_may_have_run_is_not_reported_as_not_run(self):
        fixture = GuardFixture()
        await fixture.fail(CRASHING, 3)
        assert fixture.check_error(CRASHING, ran=True).outcome is Outcome.UNKNOWN

    async def test_same_body_with_another_id_is_quarantined_too(self):
        fixture = GuardFixture()
        await fixture.fail(CRASHING, 3)
        assert fixture.check_error(CRASHING._replace(request_id="r-0001-02"))
        assert fixture.check_error(CRASHING._replace(account="another")) is None
        assert fixture.check_error(OTHER) is None

    async def test_failures_of_live_endpoints_do_not_quarantine(self):
        fixture = GuardFixture(gone=False)
        await fixture.fail(CRASHING, 5)
        assert fixture.check_error(CRASHING) is None

    @pytest.mark.parametrize(
        "kind", [ErrorKind.ENDPOINT_STALLED, ErrorKind.CONNECT_FAILED]
    )
    async def test_stalls_and_failed_connects_do_not_quarantine(self, kind):
        fixture = GuardFixture()
        await fixture.fail(CRASHING, 5, kind)
        assert fixture.check_error(CRASHING) is None

    async def test_success_clears_earlier_crashes(self):
        fixture = GuardFixture()
        await fixture.fail(CRASHING, 2)
        fixture.guard.record_answer(CRASHING)
        await fixture.fail(CRASHING, 3)
        assert fixture.check_error(CRASHING) is None

    async def test_answer_with_an_error_status_does_not_clear(self):
        fixture = GuardFixture()
        await fixture.fail(CRASHING, 2)
        fixture.guard.record_answer(CRASHING, 500)
        await fixture.fail(CRASHING, 3)
        assert fixture.check_error(CRASHING).kind is ErrorKind.REQUEST_QUARANTINED
