"""One request brought down every endpoint that ran it, again and again.

Its caller sent it again after each failure, under a new id and through whichever relay
the balancer picked. Each relay saw one broken connection, took it for the endpoint's
fault, and forgot it: nothing tied the request to the endpoint's end, and no relay told
another. Eight engines ended in thirteen seconds, and what else they ran failed.

What settled it are the lines of the ends, from all relays, with the requests' digests:
one digest is in each of them, under another id and from another relay each time.

    Connections broke amid requests. crashed=True digests=['66f5a4c1...'] endpoint=i0
    Connections broke amid requests. crashed=True digests=['66f5a4c1...'] endpoint=i1
    Connections broke amid requests. crashed=True digests=['66f5a4c1...'] endpoint=i2
"""

import asyncio

from tests.lib.crashing import cluster, repeat

# The contact time is 3 s and more: all relays must know well before that.
_KNOWN_S = 1.0


class TestRepeats:
    async def test_a_fourth_endpoint_isnt_brought_down(self, path="/again/x"):
        async with cluster() as (relays, fleet):
            for number in range(12):
                if fleet.crashed >= 3:
                    break
                await repeat(relays[number % 3], path, f"r{number}")
                await fleet.fill()
                await asyncio.sleep(0.05)
            assert fleet.crashed >= 3
            await asyncio.sleep(_KNOWN_S)
            before = fleet.crashed
            for number in range(9):
                await repeat(relays[number % 3], path, f"s{number}")
                await fleet.fill()
            assert fleet.crashed == before
