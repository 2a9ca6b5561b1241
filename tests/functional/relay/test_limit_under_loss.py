"""A client account that asked at all relays for more than its limit got more.

Relays that had lost the coordinator, or had just started, admitted requests on their own
in the seconds that were too full; whether that alone explains it isn't known yet.

Of 60 requests a second with a burst of 60, 330 may pass in 4 s with what is tolerated.
With 16 relays 364 passed when the holder of the lease was killed, 394 when a third of
them were, and 355 when all were; with nothing wrong 309.
"""

import pytest

from tests.lib.limits_cluster import Cluster, limited, tolerated

RATE = 60.0
ASKED = 240.0


@pytest.fixture
async def cluster():
    """Sixteen relays whose account has been pressed for a while."""
    cluster = Cluster(16, limited(RATE), tolerated())
    await cluster.start()
    await cluster.clock.advance(6.0)
    await cluster.press(6.0, ASKED)
    yield cluster
    await cluster.kill()


class TestLoss:
    async def test_of_the_holder(self, cluster):
        await cluster.kill(cluster.holder)
        await cluster.press(8.0, ASKED)
        assert cluster.fullest() <= cluster.allowed()

    async def test_of_a_third_with_the_holder_in_turn(self, cluster):
        for _ in range(3):
            await cluster.kill(*cluster.others(1 / 3))
            await cluster.press(1.0, ASKED)
            await cluster.start()
            await cluster.press(5.0, ASKED)
        assert cluster.fullest() <= cluster.allowed()

    async def test_of_all_again_and_again(self, cluster):
        for _ in range(6):
            await cluster.kill()
            await cluster.start()
            await cluster.press(0.7, ASKED)
        await cluster.press(5.0, ASKED)
        assert cluster.fullest() <= cluster.allowed()

    async def test_of_all_while_the_store_is_away(self, cluster):
        await cluster.kill()
        cluster.store.down = True
        await cluster.start()
        await cluster.press(4.0, ASKED)
        cluster.store.down = False
        await cluster.press(6.0, ASKED)
        assert cluster.fullest() <= cluster.allowed()

    async def test_of_the_link_between_halves(self, cluster):
        half = cluster.others(1 / 2)
        cluster.net.cut.update(half)
        await cluster.press(8.0, ASKED)
        cluster.net.cut.clear()
        await cluster.press(6.0, ASKED)
        assert cluster.fullest() <= cluster.allowed()
