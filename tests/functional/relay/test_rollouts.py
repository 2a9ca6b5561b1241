"""Roll-outs through real relays: good and bad versions, and faults meanwhile."""

import asyncio
import time

import pytest
from click.testing import CliRunner

from ebonydeal._internal.commands import rollout
from ebonydeal._internal.commands.relay_client import fetch_from_relay
from ebonydeal._internal.commands.rollout import rollout_command
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from tests.lib.relay_fakes import until
from tests.lib.rollouts import NEW, OLD, deployment

FAILS = b"500 Internal Server Error"
# The relays' default bound: a tenth of the requests, and fifty.
SHARE, SLACK = 0.1, 50


async def verdict(found, state, seconds=9.0):
    await until(lambda: found.status() == (state, NEW), seconds)


def within_bound(found, begun, seconds):
    """Return whether the new version got no more requests than the bound allows."""
    exposed = [t for t in found.sends(NEW) if t <= begun + seconds]
    old = [t for t in found.sends(OLD) if begun <= t <= begun + seconds]
    return len(exposed) <= SHARE * (len(exposed) + len(old)) + SLACK


class TestGood:
    async def test_is_completed_and_nothing_fails(self):
        async with deployment() as found:
            begun = time.monotonic()
            await found.order()
            await found.add(NEW, 3)
            await until(lambda: found.status() == ("running", NEW))
            await verdict(found, "completed")
            assert within_bound(found, begun, 5.0)
            done = time.monotonic()
            await asyncio.sleep(0.6)
            assert not [t for t in found.sends(OLD) if t > done]
            assert found.answers and {s for _p, s in found.answers} == {200}

    async def test_waits_for_endpoints_that_start_late(self):
        async with deployment() as found:
            await found.order(seconds=2.0)
            await asyncio.sleep(2.5)
            assert found.status() == ("running", NEW) and not found.sends(NEW)
            await found.add(NEW, 3)
            await verdict(found, "completed")

    async def test_an_order_for_the_current_version_completes_at_once(self):
        async with deployment() as found:
            await found.order(to=OLD)
            await until(lambda: found.status() == ("completed", OLD))
            await asyncio.sleep(0.3)
            assert {s for _p, s in found.answers} == {200}


class TestBad:
    @pytest.mark.parametrize(
        "bad",
        [
            lambda _path: FAILS,
            lambda _path: 0.25,
            lambda path: FAILS if path.startswith("/once/") else None,
        ],
        ids=["fails", "slow", "one route"],
    )
    async def test_is_rolled_back_and_gets_nothing_after(self, bad):
        async with deployment() as found:
            begun = time.monotonic()
            await found.order()
            await found.add(NEW, 3, bad)
            await verdict(found, "rolled_back")
            assert within_bound(found, begun, 5.0)
            done = time.monotonic()
            await asyncio.sleep(0.6)
            assert not [t for t in found.sends(NEW) if t > done]

    async def test_a_version_that_turns_bad_is_rolled_back(self):
        turned = []
        async with deployment() as found:
            begun = time.monotonic()
            await found.order()
            await found.add(NEW, 3, lambda _path: FAILS if turned else None)
            await asyncio.sleep(2.5)
            turned.append(True)
            await verdict(found, "rolled_back")
            assert within_bound(found, begun, 5.0)

    async def test_a_disturbance_of_both_versions_is_no_evidence(self):
        slow = []
        async with deployment() as found:
            for endpoint in found.endpoints:
                endpoint.bad = lambda _path: 0.08 if slow else None
            await found.order()
            await found.add(NEW, 3, lambda _path: 0.08 if slow else None)
            await asyncio.sleep(2.0)
            slow.append(True)
            await asyncio.sleep(1.0)
            slow.clear()
            await verdict(found, "completed")


class TestOrders:
    async def test_endpoints_of_another_version_serve_until_there_is_an_order(self):
        async with deployment() as found:
            await found.add(NEW, 2)
            for program in found.relays:
                # They are admitted only once orders are read up to their entries.
                await until(
                    lambda p=program: (
                        {m.version for m in p.view.of_service("s")} == {OLD, NEW}
                    )
                )
            await found.order(seconds=20.0)
            for program in found.relays:
                await until(lambda p=program: p._split.has_rollout("s"))
                listed = program.view.of_service("s")
                part = program._split.choose_version("s", "/safe/", listed, 0.0)
                assert {m.version for m in part.members} == {OLD}

    async def test_an_unreadable_order_is_ignored(self):
        async with deployment() as found:
            await found.store.put("op", "rollout/s", b'{"service": "s", "to": 7.5}')
            await asyncio.sleep(0.6)
            assert found.status() is None
            relays = found.relays
            counted = [
                r._metrics.value("events", "rollout_orders_unreadable") for r in relays
            ]
            assert sum(counted) >= 1
            assert {s for _p, s in found.answers} == {200}

    async def test_a_withdrawn_order_is_rolled_back(self):
        async with deployment() as found:
            await found.order(seconds=8.0)
            await found.add(NEW, 3)
            await until(lambda: found.sends(NEW))
            await found.store.put("op", "rollout/s", None)
            await verdict(found, "rolled_back")
            done = time.monotonic()
            await asyncio.sleep(0.5)
            assert not [t for t in found.sends(NEW) if t > done]

    async def test_a_second_order_bars_the_first_orders_version(self):
        async with deployment() as found:
            await found.order(seconds=8.0)
            await found.add(NEW, 3)
            await until(lambda: found.sends(NEW))
            await found.order(to="v3", seconds=4.0)
            await until(lambda: found.status() == ("running", "v3"))
            await asyncio.sleep(0.3)
            done = time.monotonic()
            await found.add("v3", 3)
            await until(lambda: found.status() == ("completed", "v3"), 9.0)
            assert not [t for t in found.sends(NEW) if t > done]

    async def test_a_version_that_was_rolled_back_may_be_ordered_again(self):
        faulty = [True]
        async with deployment() as found:
            await found.order()
            await found.add(NEW, 3, lambda _path: FAILS if faulty else None)
            await verdict(found, "rolled_back")
            faulty.clear()
            await found.order(seconds=4.0)
            await verdict(found, "completed")


class TestLoss:
    async def test_another_coordinator_continues_within_the_bound(self):
        async with deployment(lease_ms=600) as found:
            begun = time.monotonic()
            await found.order(seconds=7.0)
            await found.add(NEW, 3)
            await until(lambda: len(found.sends(NEW)) >= 5)
            await asyncio.sleep(0.5)
            first = found.coordinator()
            found.stopped.add(first)
            await first.stop()
            await verdict(found, "completed", 12.0)
            assert within_bound(found, begun, 7.0)

    async def test_a_verdict_survives_the_loss_of_all_relays(self):
        async with deployment(lease_ms=600) as found:
            await found.order()
            await found.add(NEW, 3, lambda _path: FAILS)
            await verdict(found, "rolled_back")
            found.stopped.update(found.relays)
            await asyncio.gather(*(r.stop() for r in found.relays))
            done = time.monotonic()
            async with deployment(old=0, store=found.store, lease_ms=600) as again:
                again.endpoints.extend(found.endpoints)
                await asyncio.sleep(1.5)
                assert not [t for t in found.sends(NEW) if t > done]
                assert again.status() == ("rolled_back", NEW)
                again.endpoints.clear()

    async def test_an_isolated_relay_sends_to_the_old_version(self):
        async with deployment() as found:
            await found.order(seconds=20.0)
            await found.add(NEW, 3)
            await until(lambda: found.sends(NEW))
            isolated = next(r for r in found.relays if r is not found.coordinator())

            async def unreachable(*_args):
                await asyncio.sleep(0.05)
                raise EbonydealError(ErrorKind.CONNECT_FAILED, "cut off")

            isolated._exchange._send_report = unreachable
            # Gates reach it neither in a late reply nor in a message from others.
            isolated._split.apply_gates = lambda _gates, _now: None
            await asyncio.sleep(isolated._split.gate_ttl_s + 0.2)
            now = isolated._clock.now()
            members = isolated.view.of_service("s")
            part = isolated._split.choose_version("s", "/safe/", members, now)
            assert {m.version for m in part.members} == {OLD}


class TestReport:
    async def test_operators_see_a_roll_out_under_way(self):
        async with deployment() as found:
            await found.order(seconds=20.0)
            await found.add(NEW, 3)
            await until(lambda: found.sends(NEW))
            await until(lambda: found.coordinator()._rollouts.report()[0]["exposed"])
            report = found.coordinator()._rollouts.report()
            assert report[0]["to"] == NEW and report[0]["phase"] == "running"
            address = f"127.0.0.1:{found.coordinator().peers.port}"
            shown = await fetch_from_relay(address, "/rollouts")
            assert shown[0]["service"] == "s" and shown[0]["exposed"] >= 1

    def test_the_command_reports_an_unreachable_relay(self):
        result = CliRunner().invoke(rollout_command, ["--relay", "127.0.0.1:1"])
        assert result.exit_code == 1 and "no readable answer" in result.output

    def test_the_command_prints_a_line_for_each_roll_out(self, monkeypatch):
        def shown(_address, _path):
            return [
                {
                    "service": "s",
                    "to": NEW,
                    "phase": "running",
                    "left_s": 3.25,
                    "evidence": -1.0,
                    "route": "/safe/",
                    "shares": {"/safe/": 0.02},
                    "barred": [],
                    "requests": 900,
                    "exposed": 20,
                    "answers": 19,
                    "failed": 0,
                }
            ]

        monkeypatch.setattr(rollout, "fetch_or_exit", shown)
        result = CliRunner().invoke(rollout_command, ["--relay", "127.0.0.1:1"])
        assert result.output.startswith("s to v2: running, 3.2 s left, 20 of 900")
