"""Plain requests with `resend_by_expectation`: sends, refusals and their truth.

The objective is 1 s, so a silent endpoint is left after 0.6 s.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest

from ebonydeal._internal.observe.counters import Event, RetryReason
from ebonydeal._internal.routing.capacity.plain_capacity import (
    Estimate,
    PlainCapacity,
)
from tests.functional.relay.test_plain import no_answer, reset
from tests.lib.raw_endpoints import NOT_RUN, Always, RawEndpoint, answer
from tests.lib.relay_fakes import ask, running, until


class SetCapacity(PlainCapacity):
    """Expected times that a test sets by endpoint, 0.2 s without a queue."""

    def __init__(self):
        super().__init__()
        self.times = {}

    def estimate(self, member, _now):
        expected = self.times.get(member.endpoint_id, 0.2)
        return Estimate(0.2, 4.0, expected / 0.05 - 1.0, 0.0, 4.0)

    def estimate_or_typical(self, member, now):
        return self.estimate(member, now)


@asynccontextmanager
async def by_expectation(*endpoints, **times):
    """Run a relay with the setting on and these expected times; yields it and them."""
    async with running(*endpoints) as (program, _store):
        forwarder = program.intake._plain
        capacity = SetCapacity()
        capacity.times.update(times)
        forwarder._parts = forwarder._parts._replace(
            config=forwarder._parts.config._replace(by_expectation=True),
            plain_capacity=capacity,
        )
        yield program, capacity


async def slow(_reader, writer, headers):
    """Answer after 1.2 s, later than patience lasts."""
    await asyncio.sleep(1.2)
    writer.write(answer(headers, body=b"slow"))
    await writer.drain()


async def slower(_reader, writer, headers):
    """Answer after 2 s, later than another endpoint that is asked beside it."""
    await asyncio.sleep(2.0)
    writer.write(answer(headers, body=b"slow"))
    await writer.drain()


class TestSends:
    async def test_silent_endpoint_is_left(self):
        # Guards against waiting for an endpoint that hangs.
        one, two = RawEndpoint("i1", Always(no_answer)), RawEndpoint("i2")
        async with by_expectation(one, two, i2=0.25) as (program, _capacity):
            status, _headers, body = await ask(program, "/safe/")
            retries = program.intake._parts.metrics.retries()
        assert (status, body) == (200, b"hello")
        assert len(one.seen) == len(two.seen) == 1
        assert retries == {"endpoint_stalled": 1}

    async def test_send_is_not_cut_because_of_a_queue_that_all_have(self):
        # Guards against congestion collapse: work that is discarded and queues anew.
        one, two = RawEndpoint("i1", Always(slow)), RawEndpoint("i2", Always(slow))
        async with by_expectation(one, two, i1=0.85, i2=0.88) as (program, _capacity):
            status, _headers, body = await ask(program, "/safe/")
            retries = program.intake._parts.metrics.retries()
        assert (status, body) == (200, b"slow")
        assert len(one.seen) + len(two.seen) == 1
        assert retries == {}

    async def test_queue_that_only_this_endpoint_has_is_left(self):
        # It is left after 1.18 s, and its answer would still be used.
        one, two = RawEndpoint("i1", Always(slower)), RawEndpoint("i2")
        async with by_expectation(one, two, i1=0.85, i2=0.88) as (program, capacity):
            task = asyncio.create_task(ask(program, "/safe/"))
            await until(lambda: one.seen or two.seen)
            assert not two.seen
            program.intake._parts.selector.record_activity(
                "i1", program.intake._parts.clock.now() + 0.01
            )
            capacity.times["i2"] = 0.05
            status, _headers, body = await task
            metrics = program.intake._parts.metrics
        assert (status, body) == (200, b"hello")
        assert metrics.value("retries", RetryReason.SOONER_ELSEWHERE) == 1


class TestRefusals:
    @pytest.mark.parametrize("path", ["/safe/", "/once/"])
    async def test_request_that_nothing_can_serve_in_time(self, path):
        # Guards against requests that are held until they are late.
        one, two = RawEndpoint("i1"), RawEndpoint("i2")
        async with by_expectation(one, two, i1=1.4, i2=1.2) as (program, _capacity):
            status, headers, _body = await ask(program, path, method="POST")
            events = program.intake._parts.metrics.events()
        assert status == 503
        assert headers["x-outcome"] == "not_run"
        assert 0.0 < float(headers["retry-after"]) <= 1.0
        assert one.seen == two.seen == []
        assert events[Event.PLAIN_SHED_BY_EXPECTATION] == 1

    async def test_setting_is_needed(self):
        one = RawEndpoint("i1")
        async with by_expectation(one, i1=1.4) as (program, _capacity):
            forwarder = program.intake._plain
            forwarder._parts = forwarder._parts._replace(
                config=forwarder._parts.config._replace(by_expectation=False)
            )
            assert (await ask(program, "/safe/"))[0] == 200

    async def test_rejected_request_does_not_visit_endpoints_as_full(self):
        one, two = RawEndpoint("i1", Always(NOT_RUN)), RawEndpoint("i2")
        async with by_expectation(one, two, i1=0.7, i2=0.75) as (program, _capacity):
            status, headers, _body = await ask(program, "/once/", method="POST")
            events = program.intake._parts.metrics.events()
        assert (status, headers["x-outcome"]) == (503, "not_run")
        assert "retry-after" in headers
        assert two.seen == []
        assert events[Event.PLAIN_SHED_AFTER_REJECTION] == 1

    async def test_rejection_without_a_queue_is_sent_on(self):
        one, two = RawEndpoint("i1", Always(NOT_RUN)), RawEndpoint("i2")
        async with by_expectation(one, two, i2=0.22) as (program, _capacity):
            assert (await ask(program, "/once/", method="POST"))[0] == 200
        assert len(one.seen) == len(two.seen) == 1

    async def test_request_that_may_have_run_is_not_said_not_to_have(self):
        # Guards against a false "not run" after a send that broke off.
        one, two = RawEndpoint("i1", Always(reset)), RawEndpoint("i2", Always(NOT_RUN))
        async with by_expectation(one, two, i1=0.7, i2=0.75) as (program, _capacity):
            status, headers, _body = await ask(program, "/safe/")
        assert len(one.seen) >= 1
        assert headers["x-outcome"] != "not_run"
        assert status in (502, 503, 504)
