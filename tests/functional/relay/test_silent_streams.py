"""A run that falls silent is kept until another endpoint has taken its stream."""

import asyncio
from contextlib import suppress
from functools import partial

from tests.lib.raw_endpoints import (
    NOT_RUN,
    RawEndpoint,
    chunk,
    events,
    request_id,
    stream_head,
)
from tests.lib.relay_fakes import ask, running

# Longer than the 0.6 s after which a run counts as silent.
SILENCE_S = 1.0


def whole_stream(first, last):
    return stream_head() + chunk(events(first, last)) + b"0\r\n\r\n"


async def silent_for(silence_s, first, last, reader, writer, headers):
    """Send the first events, then nothing, then the others up to the last."""
    head = stream_head().replace(b"{id}", request_id(headers))
    writer.write(head + chunk(events(1, first)) if first else b"")
    await writer.drain()
    with suppress(TimeoutError):
        async with asyncio.timeout(silence_s):
            await reader.read()
        writer.close()
        return
    rest = chunk(events(first + 1, last)) + b"0\r\n\r\n"
    writer.write(rest if first else head + rest)
    await writer.drain()


class FirstAndOthers:
    """Endpoints: the one that is asked first runs one script, the others another."""

    def __init__(self, first, other):
        self.first = None
        self.endpoints = [RawEndpoint(f"i{n}") for n in range(3)]
        self._first, self._other = first, other
        for endpoint in self.endpoints:
            endpoint.script = _Script(self, endpoint)

    def step_of(self, endpoint):
        if self.first is None:
            self.first = endpoint
            return self._first
        return self._other


class _Script(list):
    """The script of one of `FirstAndOthers`."""

    def __init__(self, owner, endpoint):
        super().__init__([None])
        self._owner, self._endpoint = owner, endpoint

    def pop(self, _index=0):
        return self._owner.step_of(self._endpoint)


class TestSilentRun:
    async def test_is_not_lost_if_no_other_endpoint_takes_the_stream(self):
        found = FirstAndOthers(partial(silent_for, SILENCE_S, 2, 4), NOT_RUN)
        async with running(*found.endpoints) as (program, _store):
            status, _headers, body = await ask(program, "/again/", method="POST")
            assert all(endpoint.seen for endpoint in found.endpoints)
        assert (status, body) == (200, events(1, 4))
