"""A timeout of a process that was held up ends after what has arrived was read."""

import asyncio
import os
import time

import pytest

from ebonydeal._internal.relay.requests.wait_timer import arrival_limit, checked_limit
from ebonydeal._internal.utils.clock import SystemClock

CLOCK = SystemClock()


async def read_from_pipe():
    """Return a pipe's reader, and a function that writes to it."""
    source, sink = os.pipe()
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(source, "rb")
    )
    return reader, lambda data: os.write(sink, data)


class TestHeldUp:
    async def test_what_arrived_in_time_is_read(self):
        reader, write = await read_from_pipe()
        async with arrival_limit(0.05, CLOCK):
            asyncio.get_running_loop().call_soon(lambda: (write(b"x"), time.sleep(0.2)))
            assert await reader.readexactly(1) == b"x"

    async def test_what_does_not_arrive_ends_the_wait(self):
        reader, _write = await read_from_pipe()
        with pytest.raises(TimeoutError):
            async with arrival_limit(0.01, CLOCK):
                await reader.readexactly(1)

    async def test_a_wait_that_is_extended_goes_on(self):
        began, waits = CLOCK.now(), [0.01, 0.05, 0.05]
        with pytest.raises(TimeoutError):
            async with checked_limit(lambda _now: began + waits.pop(0), CLOCK):
                await asyncio.sleep(30)
        assert waits == []
