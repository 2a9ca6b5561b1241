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
import json
from contextlib import asynccontextmanager, suppress
from zlib import decompress

import pytest
from click.testing import CliRunner

from ebonydeal._internal.commands.ask import ask_relay
from ebonydeal._internal.commands.quarantine import quarantine_command
from tests.lib.crashing import FATAL, CrashingEndpoint, cluster, repeat
from tests.lib.relay_fakes import KEY, MemoryStore, ask, relay, until

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


async def bring_down_three(relays, fleet, path="/again/x"):
    """Repeat the fatal request until three endpoints crashed."""
    for number in range(12):
        if fleet.crashed >= 3:
            break
        await repeat(relays[number % len(relays)], path, f"r{number}")
        # The next relay has heard of the crashes before: it is to bring down one more,
        # not one more than that because it knows of fewer.
        await until(lambda: all(heard(relay) >= fleet.crashed for relay in relays))
        await fleet.fill()
    assert fleet.crashed == 3


def heard(relay):
    """Return how many crashes a relay remembers."""
    return len(relay._suspects.to_message()["crashes"])


async def all_hold(relays, seconds=_KNOWN_S):
    """Wait until every relay refuses something."""
    await until(lambda: all(r._suspects.report() for r in relays), seconds)


class TestKinds:
    @pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/live/x"])
    async def test_every_kind_of_route_is_bound(self, path):
        async with cluster() as (relays, fleet):
            await bring_down_three(relays, fleet, path)
            await all_hold(relays)
            for number in range(6):
                status, _body = await repeat(relays[number % 3], path, f"s{number}")
                assert status == 500
            assert fleet.crashed == 3


class TestKnown:
    async def test_repeats_at_all_relays_at_one_moment(self):
        async with cluster() as (relays, fleet):
            for number in range(4):
                calls = [
                    repeat(r, "/again/x", f"{number}-{n}") for n, r in pairs(relays)
                ]
                await asyncio.gather(*calls)
                await fleet.fill()
                await asyncio.sleep(0.1)
            # Each of the three of the first moment is sent on once at most.
            assert 3 <= fleet.crashed <= 6

    async def test_runs_under_way_are_stopped(self):
        paused = iter([0.0] * 3)

        def make(name):
            return CrashingEndpoint(name, pause=next(paused, 30.0))

        async with cluster(endpoints=3, make=make) as (relays, fleet):
            calls = []
            for number in range(6):
                relay = relays[number % 3]
                calls.append(
                    asyncio.create_task(repeat(relay, "/live/x", f"r{number}"))
                )
                await asyncio.sleep(0.1)
                await fleet.fill()
            answers = await asyncio.wait_for(asyncio.gather(*calls), 2.0)
            assert fleet.crashed == 3
            assert answers[-1][0] == 500

    async def test_a_relay_that_starts_later_knows(self):
        async with cluster() as (relays, fleet):
            await bring_down_three(relays, fleet)
            late = relay(fleet.store, node="late", seed=9, settle_s=0.0)
            async with started(late):
                await all_hold([late])
                status, _body = await repeat(late, "/again/x", "s")
                assert status == 500
                assert fleet.crashed == 3

    async def test_also_when_the_coordinator_is_lost_at_the_third(self):
        async with cluster() as (relays, fleet):
            await bring_down_three(relays, fleet)
            holder = next(r for r in relays if r.coordinator.lease.mine)
            others = [r for r in relays if r is not holder]
            await holder.peers.stop()
            await all_hold(others)

    async def test_also_while_the_store_is_down(self):
        async with cluster() as (relays, fleet):
            await repeat(relays[0], "/once/x", "r0")
            await fleet.store.go_down()
            await repeat(relays[1], "/once/x", "r1")
            await repeat(relays[2], "/once/x", "r2")
            assert fleet.crashed == 3
            await all_hold(relays)

    async def test_also_after_all_relays_are_lost_at_once(self):
        store = MemoryStore()
        async with cluster(store=store) as (relays, fleet):
            await bring_down_three(relays, fleet)
            # Within the contact time; a row of fewer crashes may lie there before.
            await until(lambda: stored_crashes(store) == 3, 3.0)
            for r in relays:
                # None of them writes anything more.
                r.coordinator._keeper.crashes = None
        async with cluster(store=store, relays=1) as (relays, fleet):
            await all_hold(relays, 5.0)
            status, _body = await repeat(relays[0], "/again/x", "s")
            assert status == 500
            assert fleet.crashed == 0

    async def test_also_after_a_planned_stop_of_all_at_once(self):
        store = MemoryStore()
        async with cluster(store=store) as (relays, fleet):
            await bring_down_three(relays, fleet)
            await all_hold(relays)
        assert stored_crashes(store) == 3


class TestAnswer:
    async def test_says_what_is_the_matter_and_invites_nobody(self):
        async with cluster() as (relays, fleet):
            await bring_down_three(relays, fleet)
            await all_hold(relays)
            status, headers, body = await ask(
                relays[0], "/again/x", rid="s", method="POST", body=FATAL
            )
            error = json.loads(body)["error"]
            assert (status, error["code"]) == (500, "request_quarantined")
            assert "Retry-After" not in headers and "retry-after" not in headers
            assert headers["x-outcome"] == "not_run"
            digest = relays[0]._suspects.report()[0]["digest"]
            assert digest in error["message"]
            assert relays[0]._metrics.refusals()["request_quarantined"] == 1


class TestEqual:
    @pytest.mark.parametrize(
        ("path", "body"), [("/again/y", FATAL[:-1]), ("/again/x", b"harmless")]
    )
    async def test_another_path_or_body_is_served(self, path, body):
        async with cluster() as (relays, fleet):
            await bring_down_three(relays, fleet)
            await all_hold(relays)
            status, _body = await repeat(relays[0], path, "s", body)
            assert status == 200

    async def test_a_client_account_answers_for_none_other(self):
        accounts = [
            {"name": "acme", "api_keys": [KEY]},
            {"name": "other", "api_keys": ["key-2"]},
        ]
        async with cluster(tenants=accounts) as (relays, fleet):
            await bring_down_three(relays, fleet)
            await all_hold(relays)
            answer = ask(
                relays[0], "/once/x", rid="s", method="POST", body=FATAL, key="key-2"
            )
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                assert (await answer)[0] != 500
            # It ran: what another account's request did isn't held against it.
            assert fleet.crashed == 4


class TestLimit:
    async def test_a_refused_request_draws_on_no_limit(self):
        async with cluster() as (relays, fleet):
            await bring_down_three(relays, fleet)
            await all_hold(relays)
            admitted = []
            for r in relays:
                r._quota.admit = admitted.append
            status, _body = await repeat(relays[0], "/again/x", "s")
            assert (status, admitted) == (500, [])


class TestOperators:
    async def test_see_what_is_refused_at_any_relay(self):
        async with cluster() as (relays, fleet):
            await bring_down_three(relays, fleet)
            await all_hold(relays)
            found = await ask_relay(f"127.0.0.1:{relays[2].peers.port}", "/quarantine")
            crashed = sorted(e.name for e in fleet.endpoints if e.crashed)
            assert [item["endpoints"] for item in found] == [crashed]

    def test_are_told_of_a_relay_that_doesnt_answer(self):
        result = CliRunner().invoke(quarantine_command, ["--relay", "127.0.0.1:1"])
        assert result.exit_code == 1
        assert "gives no readable answer" in result.stderr


class TestOthers:
    async def test_are_served_while_one_request_brings_endpoints_down(self):
        """Equal requests that are harmless, and many that differ, all succeed."""
        async with cluster() as (relays, fleet):
            harmful = asyncio.create_task(bring_down_three(relays, fleet, "/safe/x"))
            statuses = []
            for number in range(60):
                body = b"equal" if number % 2 else b"%d" % number
                answer = await repeat(relays[number % 3], "/safe/y", f"y{number}", body)
                statuses.append(answer and answer[0])
                await asyncio.sleep(0.01)
            await harmful
            assert statuses.count(200) == 60

    async def test_a_reset_link_counts_against_nobody(self):
        async def cut(_reader, writer, _headers):
            writer.transport.abort()

        def make(name):
            return CrashingEndpoint(name, script=[cut] * 20)

        async with cluster(make=make) as (relays, fleet):
            for number in range(6):
                await repeat(relays[number % 3], "/once/x", f"r{number}", b"harmless")
            await asyncio.sleep(0.2)
            assert [r._suspects.report() for r in relays] == [[], [], []]
            assert all(r._suspects.fingerprint == "" for r in relays)

    async def test_an_endpoint_that_leaves_counts_against_nobody(self):
        async with cluster() as (relays, fleet):
            for endpoint in fleet.endpoints[:3]:
                row = endpoint.row(state="draining")
                await fleet.store.put("servers", endpoint.name, row)
            leaving = fleet.endpoints[:3]
            await until(lambda: all(known_leaving(r, leaving) for r in relays))
            for n, r in pairs(relays):
                member = r.view.members[leaving[n].name]
                leaving[n].crash()
                r._crashes.connection_broken(member, "d" * 32)
            await asyncio.sleep(0.2)
            assert all(r._suspects.fingerprint == "" for r in relays)


def stored_crashes(store):
    """Return how many crashes lie in the store."""
    rows = store.tables.get("ebonydeal-crashes", {})
    return sum(
        len(json.loads(decompress(row.value))["memory"]["crashes"])
        for row in rows.values()
    )


def pairs(relays):
    return list(enumerate(relays))


def known_leaving(program, endpoints):
    members = program.view.members
    return all(members[e.name].leaving for e in endpoints)


@asynccontextmanager
async def started(program):
    await program.start()
    await until(lambda: program.ready)
    try:
        yield
    finally:
        await program.stop()
