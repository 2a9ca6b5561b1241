"""Relays that start again and again keep the shared retry budget.

Each start gave a retry for each service, whatever the number of starts before it.
"""

import asyncio
from itertools import count

from ebonydeal._internal.settings.relay import RelaySettings
from tests.lib.relay_fakes import ask, relay, until
from tests.lib.rollouts import OLD, deployment

FAILS = b"500 Internal Server Error"
RELAYS = 9
ROUNDS = 10
CFG = RelaySettings()


async def restart(found, old, number):
    """Replace a relay by a new process, which serves when this returns."""
    found.stopped.add(old)
    await old.stop()
    fresh = relay(found.store, node=f"m{number}", seed=number + 7)
    others = [r for r in found.relays if r not in found.stopped]
    fresh._exchange.add_seeds(tuple(r._reporter.address for r in others))
    await fresh.start()
    await until(lambda: fresh.ready)
    found.relays.append(fresh)
    return fresh


class TestBudget:
    async def test_of_nine_relays_that_start_again_and_again(self):
        async with deployment(RELAYS, load=False) as found:
            for endpoint in found.endpoints:
                endpoint.bad = lambda _path: FAILS
            numbers = count()

            async def start_and_ask(old):
                number = next(numbers)
                fresh = await restart(found, old, number)
                await ask(fresh, f"/safe/{number}", rid=f"r{number}")

            for _ in range(ROUNDS):
                running = [r for r in found.relays if r not in found.stopped]
                await asyncio.gather(*(start_and_ask(old) for old in running))
            requests = next(numbers)
            retries = len(found.sends(OLD)) - requests
            assert requests == RELAYS * ROUNDS
            assert retries <= CFG.retry_ratio * requests + CFG.retry_extra


class TestCallers:
    async def test_first_request_after_a_start_is_retried(self):
        """The coordinator's first reply allots the retry."""
        async with deployment(3, load=False) as found:
            found.endpoints[0].bad = lambda _path: FAILS
            old = next(r for r in found.relays if r is not found.coordinator())
            fresh = await restart(found, old, 1)
            await until(lambda: fresh._exchange.count_known)
            status, _headers, _body = await ask(fresh, "/safe/1", rid="s1")
            assert status == 200 and found.endpoints[0].times

    async def test_refused_connection_needs_no_retry(self):
        """Also before the first reply, for requests that may run once."""
        async with deployment(3, load=False) as found:
            for endpoint in found.endpoints[1:]:
                await endpoint.stop()
            old = next(r for r in found.relays if r is not found.coordinator())
            fresh = await restart(found, old, 1)
            while fresh._retries.try_spend("s"):
                pass
            status, _headers, _body = await ask(fresh, "/once/1", rid="o1")
            assert status == 200
