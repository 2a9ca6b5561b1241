"""An answer counts for one send only, though its copies name the same request."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from tests.lib.announcing_endpoints import running_relays
from tests.lib.cut_links import relays_of_which_first_is_cut
from tests.lib.late_copies import (
    BAD_REQUEST,
    IN_PIECES,
    MISDIRECTED,
    RATE_LIMITED,
    REFUSAL,
    WHOLE,
    RepeatingEndpoint,
    RepeatingStreams,
)
from tests.lib.relay_fakes import ask, until

REQUESTS = 24
AT_ONCE = 4
PROMISES = (408, 421, 429, 503)


async def send_all(programs, path):
    """Send requests to the relays in turn; return the status of each by its id."""
    at_once = asyncio.Semaphore(AT_ONCE)

    async def send(number):
        async with at_once:
            program = programs[number % len(programs)]
            status, _headers, _body = await ask(
                program, path, rid=f"r{number}", method="POST"
            )
            return status

    statuses = await asyncio.gather(*(send(n) for n in range(REQUESTS)))
    return {f"r{number}": status for number, status in enumerate(statuses)}


def refused_that_ran(statuses, endpoints):
    runs = {rid for endpoint in endpoints for rid in endpoint.runs}
    return [rid for rid in runs if statuses[rid] in PROMISES]


@asynccontextmanager
async def two_relays(*endpoints):
    async with running_relays(2, *endpoints) as (programs, _store):
        for program in programs:
            await until(lambda p=program: p._exchange.count_known)
        yield programs


class TestCopyOfARefusal:
    @pytest.mark.parametrize("pieces", [WHOLE, IN_PIECES], ids=["whole", "in pieces"])
    @pytest.mark.parametrize(
        "refusal",
        [REFUSAL, MISDIRECTED, RATE_LIMITED, BAD_REQUEST],
        ids=["503", "421", "429", "400"],
    )
    async def test_is_no_proof_for_a_second_send_of_the_request(self, refusal, pieces):
        one = RepeatingEndpoint("i1", refusal, pieces)
        async with two_relays(one) as programs:
            statuses = await send_all(programs, "/once/")
        assert refused_that_ran(statuses, [one]) == []
        assert len(one.runs) == len(set(one.runs)) > 0

    async def test_is_no_proof_for_a_second_send_of_a_stream(self):
        one = RepeatingStreams("i1")
        async with two_relays(one) as programs:
            statuses = await send_all(programs, "/live/")
        assert refused_that_ran(statuses, [one]) == []
        assert len(one.runs) == len(set(one.runs)) > 0

    async def test_is_no_proof_for_a_second_send_through_another_relay(self):
        one = RepeatingEndpoint("i1")
        async with relays_of_which_first_is_cut(2, one) as (first, _other):
            statuses = await send_all([first], "/once/")
        assert refused_that_ran(statuses, [one]) == []
        assert len(one.runs) == len(set(one.runs)) > 0

    async def test_costs_the_next_request_on_its_connection_nothing(self):
        endpoints = [RepeatingEndpoint(f"i{number}") for number in range(3)]
        async with two_relays(*endpoints) as programs:
            statuses = await send_all(programs, "/once/")
        assert sum(endpoint.copies[False] for endpoint in endpoints) > 0
        assert set(statuses.values()) <= {200, 503}

    @pytest.mark.parametrize("pieces", [WHOLE, IN_PIECES], ids=["whole", "in pieces"])
    async def test_on_an_idle_connection_is_no_proof(self, pieces):
        one = RepeatingEndpoint("i1", pieces=pieces, early=True)
        async with two_relays(one) as programs:
            statuses = await send_all(programs, "/once/")
        assert refused_that_ran(statuses, [one]) == []
        assert len(one.runs) == len(set(one.runs)) > 0
