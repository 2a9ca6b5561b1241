"""A verdict that one relay knows outlasts a store that has forgotten it.

The relays that started after the restore knew the order by another version, took it
for a new one, and turned the verdict back.
"""

import asyncio
import time
from contextlib import asynccontextmanager

import pytest

from tests.lib.relay_fakes import relay, until
from tests.lib.restorable_store import RestorableStore
from tests.lib.rollouts import NEW, OLD, deployment

FAILS = b"500 Internal Server Error"
ORDER_S = 3.0
# The store returns after this long, so that the old lease has expired.
AWAY_S = 0.7


@asynccontextmanager
async def restored(state, bad, copied_before_order):
    """Roll out a version, restore the store; all relays but one start anew.

    The relay that stays doesn't take the lease. Yields the deployment and the time of
    the restore.
    """
    async with deployment(store=RestorableStore(), lease_ms=600) as found:
        if copied_before_order:
            copy = found.store.copy()
        await found.order(seconds=ORDER_S)
        if not copied_before_order:
            await asyncio.sleep(0.3)
            copy = found.store.copy()
        await found.add(NEW, 3, bad)
        await until(lambda: found.status() == (state, NEW), 9.0)
        if state == "completed":
            await stop_old(found)
        await asyncio.sleep(1.0)
        stays = next(r for r in found.relays if r is not found.coordinator())
        await found.store.go_down()
        lost = [r for r in found.relays if r is not stays]
        found.stopped.update(lost)
        await asyncio.gather(*(r.stop() for r in lost))
        stays.coordinator._keeper._takeover_delay_s = 60.0
        await asyncio.sleep(AWAY_S)
        at = time.monotonic()
        await found.store.restore(copy)
        fresh = [
            relay(found.store, node=f"m{n}", seed=n + 7, settle_s=0.0, lease_ms=600)
            for n in range(2)
        ]
        for program in fresh:
            program._exchange.add_seeds((stays._reporter.address,))
            await program.start()
        for program in fresh:
            await until(lambda program=program: program.ready)
        found.relays.extend(fresh)
        await until(lambda: any(r.coordinator.holds for r in fresh), 9.0)
        yield found, at


async def stop_old(found):
    """Stop the old endpoints and remove their entries, as the operator does."""
    for endpoint in [e for e in found.endpoints if e.version == OLD]:
        await found.store.put("servers", endpoint.name, None)
        await endpoint.stop()
        found.endpoints.remove(endpoint)


@pytest.mark.parametrize("copied_before_order", [False, True])
class TestVerdictOfOneRelay:
    async def test_a_completed_version_stays(self, copied_before_order):
        async with restored("completed", lambda _p: None, copied_before_order) as (
            found,
            _at,
        ):
            await until(lambda: found.status() == ("completed", NEW), 3.0)
            answered = len(found.answers)
            await asyncio.sleep(ORDER_S)
            assert found.status() == ("completed", NEW)
            assert {status for _p, status in found.answers[answered:]} == {200}

    async def test_a_version_rolled_back_gets_nothing(self, copied_before_order):
        async with restored("rolled_back", lambda _p: FAILS, copied_before_order) as (
            found,
            at,
        ):
            await until(lambda: found.status() == ("rolled_back", NEW), 3.0)
            await asyncio.sleep(ORDER_S)
            assert found.status() == ("rolled_back", NEW)
            assert not [t for t in found.sends(NEW) if t > at]


class TestRunning:
    async def test_is_not_withdrawn_while_the_store_lacks_its_order(self):
        async with deployment(store=RestorableStore(), lease_ms=600) as found:
            copy = found.store.copy()
            await found.order(seconds=6.0)
            await found.add(NEW, 3)
            await until(lambda: found.sends(NEW))
            await found.store.go_down()
            await asyncio.sleep(AWAY_S)
            await found.store.restore(copy, rewritten_after=1.0)
            states = set()

            def is_completed():
                states.add(found.status())
                return found.status() == ("completed", NEW)

            await until(is_completed, 9.0)
            assert ("rolled_back", NEW) not in states
