"""One part of prompts crashed endpoints, and no two of the requests were equal.

Each crash was attributed to whole requests, so none of them reached the number of
crashes from which on a request is refused.
"""

import asyncio

import pytest

from tests.lib.crashing import (
    FATAL_PART,
    CrashingEndpoint,
    PartCrashingEndpoint,
    ask_model,
    cluster,
    lose_coordinator,
    started,
)
from tests.lib.relay_fakes import MemoryStore, relay, until

# The contact time is 3 s and more: all relays must know well before that.
_MAX_SPREAD_S = 1.0
# Crashes from which on all relays must refuse requests with the part.
_CRASHES_TO_KNOW = 5
# Crashes of an outage come closer together than this.
_MIN_GAP_S = 0.15
SHARED = "5a"


async def crash(relays, fleet, count=_CRASHES_TO_KNOW, path="/once/x"):
    """Send requests with the fatal part until so many endpoints crashed.

    Sound requests that share their other part are served meanwhile.
    """
    for number in range(4 * count):
        if fleet.crashed >= count:
            break
        asked = relays[number % len(relays)]
        await ask_model(asked, path, f"s{number}", SHARED)
        await ask_model(asked, path, f"f{number}", SHARED, FATAL_PART)
        await fleet.fill()
        await asyncio.sleep(_MIN_GAP_S)


class TestPart:
    async def test_requests_with_a_part_that_crashed_five_endpoints_are_not_sent(self):
        async with cluster(make=PartCrashingEndpoint) as (relays, fleet):
            await crash(relays, fleet)
            await asyncio.sleep(_MAX_SPREAD_S)
            before = fleet.crashed
            for number in range(9):
                asked = relays[number % len(relays)]
                await ask_model(asked, "/once/x", f"l{number}", SHARED, FATAL_PART)
                await fleet.fill()
            assert fleet.crashed == before


def known_parts(program):
    """Return how many quarantined causes a relay reports."""
    return len(program._suspects.report())


async def all_refuse(relays, seconds=_MAX_SPREAD_S):
    await until(lambda: all(known_parts(r) for r in relays), seconds)


class TestKinds:
    @pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/live/x", "/again/x"])
    async def test_requests_of_every_kind_of_route_are_refused(self, path):
        async with cluster(make=PartCrashingEndpoint) as (relays, fleet):
            await crash(relays, fleet, path=path)
            await all_refuse(relays)
            before = fleet.crashed
            for number, other in enumerate(("/safe/y", "/once/y", "/live/y")):
                answer = await ask_model(
                    relays[number], other, f"l{number}", SHARED, FATAL_PART
                )
                assert answer[0] == 500
                assert b"prompt part 2" in answer[1]
            assert fleet.crashed == before

    @pytest.mark.parametrize("parts", [(FATAL_PART, SHARED), (FATAL_PART,)])
    async def test_the_part_is_found_at_any_place_of_the_prompt(self, parts):
        async with cluster(make=PartCrashingEndpoint) as (relays, fleet):
            for number in range(20):
                await ask_model(relays[number % 3], "/once/x", f"s{number}", SHARED)
                await ask_model(relays[number % 3], "/once/x", f"f{number}", *parts)
                await fleet.fill()
                await asyncio.sleep(_MIN_GAP_S)
            assert fleet.crashed <= _CRASHES_TO_KNOW


def lists_all(program, fleet):
    """Return whether a relay lists exactly the endpoints that are alive."""
    return program.view.members.keys() == {e.name for e in fleet.alive}


class TestSoundRequests:
    async def test_with_the_same_account_and_other_part_are_served(self):
        async with cluster(make=PartCrashingEndpoint) as (relays, fleet):
            await crash(relays, fleet)
            await all_refuse(relays)
            answers = [
                await ask_model(relays[number % 3], "/once/x", f"o{number}", SHARED)
                for number in range(12)
            ]
            assert [answer[0] for answer in answers] == [200] * 12

    async def test_with_a_seldom_part_in_flight_in_each_crash_are_served(self):
        due = []

        class CrashesByItself(CrashingEndpoint):
            async def run(self, body):
                if due:
                    due.clear()
                    self.crash()
                    raise ConnectionResetError

        async with cluster(make=CrashesByItself) as (relays, fleet):
            for number in range(8):
                due.append(number)
                await ask_model(relays[number % 3], "/once/x", f"c{number}", "5e1d")
                await fleet.fill()
                await until(lambda: all(lists_all(r, fleet) for r in relays))
                answer = await ask_model(
                    relays[(number + 1) % 3], "/once/x", f"s{number}", "5e1d"
                )
                assert answer[0] == 200
            assert fleet.crashed == 8
            assert not any(known_parts(r) for r in relays)


class TestSpread:
    async def test_a_relay_that_starts_later_refuses_them(self):
        async with cluster(make=PartCrashingEndpoint) as (relays, fleet):
            await crash(relays, fleet)
            await all_refuse(relays)
            before = fleet.crashed
            late = relay(fleet.store, node="late", seed=9, settle_s=0.0)
            async with started(late):
                await all_refuse([late])
                answer = await ask_model(late, "/once/x", "l", SHARED, FATAL_PART)
                assert answer[0] == 500
            assert fleet.crashed == before

    async def test_relays_agree_while_the_store_is_down(self):
        async with cluster(endpoints=9, make=PartCrashingEndpoint) as (relays, fleet):
            await ask_model(relays[0], "/once/x", "s", SHARED)
            await fleet.store.go_down()
            for number in range(20):
                await ask_model(
                    relays[number % 3], "/once/x", f"f{number}", SHARED, FATAL_PART
                )
                await asyncio.sleep(_MIN_GAP_S)
            await all_refuse(relays)
            assert fleet.crashed <= _CRASHES_TO_KNOW

    async def test_relays_agree_when_the_coordinator_is_lost_at_the_last_crash(self):
        async with cluster(make=PartCrashingEndpoint) as (relays, fleet):
            await crash(relays, fleet)
            await all_refuse(await lose_coordinator(relays))

    async def test_the_quarantine_survives_the_loss_of_all_relays(self):
        store = MemoryStore()
        async with cluster(store=store, make=PartCrashingEndpoint) as (relays, fleet):
            await crash(relays, fleet)
            await all_refuse(relays)
        async with cluster(store=store, relays=1, make=PartCrashingEndpoint) as (
            relays,
            fleet,
        ):
            await all_refuse(relays, 5.0)
            answer = await ask_model(relays[0], "/once/x", "l", SHARED, FATAL_PART)
            assert answer[0] == 500
            assert fleet.crashed == 0

    async def test_bursts_at_all_relays_are_bounded(self):
        async with cluster(endpoints=9, make=PartCrashingEndpoint) as (relays, fleet):
            for burst in range(6):
                await asyncio.gather(
                    *(
                        ask_model(r, "/once/x", f"f{burst}-{n}", SHARED, FATAL_PART)
                        for n, r in enumerate(relays * 2)
                    )
                )
                await fleet.fill()
                await asyncio.sleep(0.5)
            # Two bursts, since crashes at one moment may be an outage.
            assert fleet.crashed <= 12
