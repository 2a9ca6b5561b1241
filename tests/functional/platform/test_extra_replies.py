"""An endpoint's second reply to a call isn't taken for that to the next one."""

import asyncio

from ebonydeal._internal.platform.engines import PlatformEngines
from tests.lib.raw_endpoints import RawEndpoint


def report(leaves_ms):
    body = b'{"leaves_ms": %d}' % leaves_ms
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


async def reply_twice(_reader, writer, _headers):
    writer.write(report(5000))
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.write(report(9000))
    await writer.drain()


class TestReports:
    async def test_late_second_reply_is_dropped(self):
        endpoint = RawEndpoint("i1", [reply_twice, report(1000)])
        await endpoint.start()
        engines = PlatformEngines(1.0)
        try:
            assert await engines.leaves_in(endpoint.address) == 5.0
            await asyncio.sleep(0.1)
            assert await engines.leaves_in(endpoint.address) == 1.0
        finally:
            await engines.close()
            await endpoint.stop()
