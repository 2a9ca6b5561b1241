"""One process bounds what it sends of a request that brings endpoints down."""

import pytest

from ebonydeal._internal.directory.crash_guard import CrashGuard
from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome
from ebonydeal._internal.observe.counters import Metrics
from tests.lib.clock import ManualClock
from tests.lib.gateway_fakes import view
from tests.unit.gateway.test_streams import request

FATAL = request()._replace(body_digest="fatal")
OTHER = request()._replace(body_digest="other")


class Guarded:
    """A guard before endpoints of which some are gone."""

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

    def refused(self, request, ran=False):
        try:
            self.guard.check(request, ran)
        except EbonydealError as exc:
            return exc
        return None


class TestCheck:
    async def test_the_third_endpoint_is_the_last(self):
        guarded = Guarded()
        await guarded.fail(FATAL, 2)
        assert guarded.refused(FATAL) is None
        await guarded.fail(FATAL, 3)
        error = guarded.refused(FATAL)
        assert error.kind is ErrorKind.REQUEST_QUARANTINED
        assert error.outcome is Outcome.NOT_RUN
        assert guarded.metrics.value("events", "requests_quarantined") == 1

    async def test_one_that_may_have_run_isnt_called_not_run(self):
        guarded = Guarded()
        await guarded.fail(FATAL, 3)
        assert guarded.refused(FATAL, ran=True).outcome is Outcome.UNKNOWN

    async def test_the_same_body_under_another_id_is_refused_too(self):
        guarded = Guarded()
        await guarded.fail(FATAL, 3)
        assert guarded.refused(FATAL._replace(request_id="r-0001-02"))
        assert guarded.refused(FATAL._replace(account="another")) is None
        assert guarded.refused(OTHER) is None

    async def test_endpoints_that_live_count_against_nobody(self):
        guarded = Guarded(gone=False)
        await guarded.fail(FATAL, 5)
        assert guarded.refused(FATAL) is None

    @pytest.mark.parametrize(
        "kind", [ErrorKind.ENDPOINT_STALLED, ErrorKind.CONNECT_FAILED]
    )
    async def test_nor_does_silence_or_what_was_never_sent(self, kind):
        guarded = Guarded()
        await guarded.fail(FATAL, 5, kind)
        assert guarded.refused(FATAL) is None

    async def test_a_success_clears(self):
        guarded = Guarded()
        await guarded.fail(FATAL, 2)
        guarded.guard.record_answer(FATAL)
        await guarded.fail(FATAL, 3)
        assert guarded.refused(FATAL) is None

    async def test_a_whole_answer_that_is_a_failure_doesnt(self):
        guarded = Guarded()
        await guarded.fail(FATAL, 2)
        guarded.guard.record_answer(FATAL, 500)
        await guarded.fail(FATAL, 3)
        assert guarded.refused(FATAL).kind is ErrorKind.REQUEST_QUARANTINED
