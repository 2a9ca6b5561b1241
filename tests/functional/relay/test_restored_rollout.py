"""A verdict of a roll-out outlasts a store that comes back from a copy.

Relays that started after the restore read the order under a version of the new era,
took it for a new one, and turned the verdict back.
"""

import asyncio
import random
import time
from contextlib import asynccontextmanager
from enum import StrEnum

import pytest

from tests.lib.relay_fakes import relay, until
from tests.lib.restorable_store import RestorableStore
from tests.lib.rollouts import NEW, OLD, deployment

FAILS = b"500 Internal Server Error"
ORDER_S = 3.0
# The store returns after this long, so that the old lease has expired.
AWAY_S = 0.7


class Copied(StrEnum):
    """When the copy was made to which the store goes back."""

    BEFORE_ORDER = "before order"
    AFTER_ORDER = "after order"
    AFTER_VERDICT = "after verdict"


@asynccontextmanager
async def restored(state, bad, copied, one_stays=True):
    """Roll out a version, restore the store; relays start anew.

    One that stays doesn't take the lease. Yields the deployment and the time of the
    restore.
    """
    async with deployment(store=RestorableStore(), lease_ms=600) as found:
        copies = {Copied.BEFORE_ORDER: found.store.copy()}
        await found.order(seconds=ORDER_S)
        await asyncio.sleep(0.3)
        copies[Copied.AFTER_ORDER] = found.store.copy()
        await found.add(NEW, 3, bad)
        await until(lambda: found.status() == (state, NEW), 9.0)
        if state == "completed":
            await stop_old(found)
        await asyncio.sleep(1.0)
        copies[Copied.AFTER_VERDICT] = found.store.copy()
        stays = next(r for r in found.relays if r is not found.coordinator())
        await found.store.go_down()
        lost = [r for r in found.relays if r is not stays or not one_stays]
        found.stopped.update(lost)
        await asyncio.gather(*(r.stop() for r in lost))
        stays.coordinator._keeper._takeover_delay_s = 60.0
        await asyncio.sleep(AWAY_S)
        at = time.monotonic()
        await found.store.restore(copies[copied])
        fresh = [
            relay(found.store, node=f"m{n}", seed=n + 7, settle_s=0.0, lease_ms=600)
            for n in range(2)
        ]
        for program in fresh:
            if one_stays:
                program._exchange.add_seeds((stays._reporter.address,))
            await program.start()
        for program in fresh:
            await until(lambda program=program: program.ready)
        found.relays.extend(fresh)
        await until(lambda: any(r.coordinator.holds for r in fresh), 9.0)
        yield found, at


async def check_completed(found):
    """Check that the version stays completed, and that nothing is refused."""
    await until(lambda: found.status() == ("completed", NEW), 3.0)
    answered = len(found.answers)
    await asyncio.sleep(ORDER_S)
    assert found.status() == ("completed", NEW)
    assert {status for _p, status in found.answers[answered:]} == {200}


async def check_rolled_back(found, at):
    """Check that the version gets nothing after a time."""
    await until(lambda: found.status() == ("rolled_back", NEW), 3.0)
    await asyncio.sleep(ORDER_S)
    assert found.status() == ("rolled_back", NEW)
    assert not [t for t in found.sends(NEW) if t > at]


async def stop_old(found):
    """Stop the old endpoints and remove their entries, as the operator does."""
    for endpoint in [e for e in found.endpoints if e.version == OLD]:
        await found.store.put("servers", endpoint.name, None)
        await endpoint.stop()
        found.endpoints.remove(endpoint)


@pytest.mark.parametrize("copied", [Copied.BEFORE_ORDER, Copied.AFTER_ORDER])
class TestVerdictOfOneRelay:
    async def test_a_completed_version_stays(self, copied):
        async with restored("completed", lambda _p: None, copied) as (found, _at):
            await check_completed(found)

    async def test_a_version_rolled_back_gets_nothing(self, copied):
        async with restored("rolled_back", lambda _p: FAILS, copied) as (found, at):
            await check_rolled_back(found, at)


class TestVerdictInTheCopy:
    """All relays start after the restore, and read the verdict from the store."""

    async def test_a_completed_version_stays(self):
        copied = Copied.AFTER_VERDICT
        async with restored("completed", lambda _p: None, copied, False) as (found, _):
            await check_completed(found)

    async def test_a_version_rolled_back_gets_nothing(self):
        copied = Copied.AFTER_VERDICT
        async with restored("rolled_back", lambda _p: FAILS, copied, False) as (
            found,
            at,
        ):
            await check_rolled_back(found, at)


@pytest.mark.parametrize("copied", [Copied.BEFORE_ORDER, Copied.AFTER_ORDER])
class TestVerdictLost:
    """All relays start after the restore, and nobody knows the verdict."""

    async def test_a_completed_version_that_fails_some_answers_stays(self, copied):
        rng, failing = random.Random(3), []

        def bad(_path):
            return FAILS if failing and rng.random() < 0.3 else None

        async with restored("completed", bad, copied, one_stays=False) as (found, _at):
            failing.append(True)
            answered = len(found.answers)
            await until(lambda: found.status() == ("completed", NEW), 5.0)
            await asyncio.sleep(ORDER_S)
            assert found.status() == ("completed", NEW)
            assert {s for _p, s in found.answers[answered:]} <= {200, 500}


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
