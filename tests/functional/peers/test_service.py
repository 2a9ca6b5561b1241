import asyncio
import random

import pytest

from ebonydeal._internal.directory.service import Directory
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.peers.membership import Member, MemberStatus
from ebonydeal._internal.peers.service import PUSH_PATH, ROUND_PATH, PeerService
from ebonydeal._internal.settings.directory import DirectorySettings
from ebonydeal._internal.settings.sections import NodeSettings, PeerSettings
from ebonydeal._internal.utils.clock import SystemClock
from ebonydeal._internal.utils.peerclient import PeerClient
from tests.lib.endpoints import ListedInstances, make_mark, make_view

LONG_PERIOD_S = 60.0


class Node:
    """One process's directory and peers; the test starts the rounds itself."""

    def __init__(
        self, number: int, seeds: str = "", period: float = LONG_PERIOD_S
    ) -> None:
        self.clock = SystemClock()
        self.metrics = Metrics()
        rng = random.Random(number)
        self.instances = ListedInstances(make_view())
        self.directory = Directory(
            DirectorySettings(), self.instances, self.metrics, self.clock, rng
        )
        self.directory.apply_list(self.instances.views)
        self.peers = PeerService.from_config(
            NodeSettings(id=f"node-{number}", drain_seconds=0.2),
            PeerSettings(port=0, seeds=seeds, period=period),
            self.metrics,
            self.clock,
            rng,
            directory=self.directory,
            roles=("gateway",),
        )

    async def __aenter__(self) -> "Node":
        await self.peers.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.peers.stop()

    def known_peers(self) -> set[str]:
        return {member.id for member in self.peers.members()}


async def wait_until(condition, seconds: float = 20.0) -> None:
    """Wait for a condition; the time limit only ends a hung test."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def join_all(first: Node, *others: Node) -> None:
    for _ in range(3):
        for node in others:
            await node.peers.round()
        await first.peers.round()


class TestThreeNodes:
    async def test_mark_reaches_all_by_push_without_rounds(self):
        async with Node(1) as a:
            async with Node(2, a.peers.address) as b, Node(3, a.peers.address) as c:
                await join_all(a, b, c)
                assert a.known_peers() == {"node-2", "node-3"}
                assert c.known_peers() == {"node-1", "node-2"}
                received: list = []
                c.directory.on_mark(received.append)
                mark = make_mark(at=a.clock.wall(), source="cloud")
                assert a.directory.mark(mark) is True
                await wait_until(lambda: received)
                await wait_until(lambda: b.directory.views("pool") == ())
                assert received == [mark]
                assert c.directory.views("pool") == ()

    async def test_node_that_missed_the_push_gets_the_mark_in_a_round(self):
        async with Node(1) as a:
            mark = make_mark(at=a.clock.wall())
            a.directory.mark(mark)
            async with Node(2, a.peers.address) as b:
                await b.peers.round()
                assert list(b.directory.marks) == []
                await b.peers.round()
                assert list(b.directory.marks) == [mark]

    async def test_list_read_by_one_node_reaches_all(self):
        async with Node(1) as a:
            async with Node(2, a.peers.address) as b, Node(3, a.peers.address) as c:
                await join_all(a, b, c)
                for node in (a, b, c):
                    await node.directory._read_list()
                a.instances.views.append(make_view("i-9"))
                a.directory.set_reader_count(lambda: 1)
                await a.directory._read_list()
                await wait_until(lambda: b.directory.get("i-9") is not None)
                await wait_until(lambda: c.directory.get("i-9") is not None)

    async def test_dead_node_is_suspected_and_marks_still_spread(self):
        async with Node(1) as a:
            async with Node(2, a.peers.address) as b:
                async with Node(3, a.peers.address) as c:
                    await join_all(a, b, c)
                    await c.peers.server.stop()
                    for _ in range(8):
                        await a.peers.round()
                    status = a.peers.membership.get("node-3").status
                    assert status is MemberStatus.SUSPECT
                    assert a.metrics.events()["peer_unreachable"] >= 1
                    mark = make_mark(at=a.clock.wall())
                    a.directory.mark(mark)
                    await wait_until(lambda: list(b.directory.marks) == [mark])

    async def test_unreachable_seed_does_not_prevent_joining(self):
        async with Node(1) as a:
            unreachable = "127.0.0.1:1"
            async with Node(2, f"{unreachable},{a.peers.address}") as b:
                for _ in range(12):
                    await b.peers.round()
                assert b.known_peers() == {"node-1"}
                assert a.known_peers() == {"node-2"}

    async def test_member_is_suspected_if_another_node_has_its_address(self):
        async with Node(1) as a, Node(2, a.peers.address) as b:
            await join_all(a, b)
            gone = b.peers.membership.own._replace(id="gone")
            a.peers.membership.merge(gone, a.clock.now())
            for _ in range(12):
                await a.peers.round()
            assert a.peers.membership.get("gone").status is MemberStatus.SUSPECT
            assert a.peers.membership.get("node-2").status is MemberStatus.ALIVE

    async def test_planned_stop_is_announced_and_not_suspected(self):
        async with Node(1) as a:
            async with Node(2, a.peers.address) as b:
                await join_all(a, b)
                assert a.known_peers() == {"node-2"}
            assert a.known_peers() == set()
            assert a.peers.membership.get("node-2").status is MemberStatus.LEFT

    async def test_rounds_run_periodically(self):
        async with Node(1, period=0.05) as a:
            async with Node(2, a.peers.address, period=0.05) as b:
                await wait_until(lambda: a.known_peers() and b.known_peers())
                assert a.known_peers() == {"node-2"}

    async def test_restart_with_the_same_id_replaces_the_old_member(self):
        async with Node(1) as a:
            async with Node(2, a.peers.address) as b:
                await b.peers.round()
                old = a.peers.membership.get("node-2")
            async with Node(2, a.peers.address) as b:
                await b.peers.round()
                new = a.peers.membership.get("node-2")
                assert new.address == b.peers.address
                assert new.incarnation > old.incarnation
                assert new.status is MemberStatus.ALIVE


class TestListener:
    @pytest.mark.parametrize("path", [ROUND_PATH, PUSH_PATH])
    async def test_wrong_credential_is_refused_and_counted(self, path):
        async with Node(1) as a:
            client = PeerClient("wrong")
            with pytest.raises(EbonydealError) as caught:
                await client.call(a.peers.address, path, {}, 5.0)
            await client.close()
            assert caught.value.kind is ErrorKind.UNAUTHORIZED
            assert a.metrics.refusals() == {"unauthorized": 1}

    @pytest.mark.parametrize(
        "message",
        [
            {},
            {"node": 1},
            {"node": ["x", 1, 0, 9, "", "", "", []]},
            {"node": ["", 1, 0, 0, "", "", "", []]},
        ],
    )
    async def test_message_without_a_node_is_refused(self, message):
        async with Node(1) as a:
            client = PeerClient("change-me")
            with pytest.raises(EbonydealError) as caught:
                await client.call(a.peers.address, ROUND_PATH, message, 5.0)
            await client.close()
            assert caught.value.kind is ErrorKind.BAD_REQUEST
            assert a.known_peers() == set()

    async def test_malformed_topic_data_is_ignored(self):
        async with Node(1) as a:
            client = PeerClient("change-me")
            message = {
                "node": ["x", 1, 0, 0, "127.0.0.1:1", "r", "z", []],
                "digests": {"marks": [1], "members": {"u": [7, ["y"]]}, "other": 1},
                "payloads": {"marks": [[1, 2], "x"], "members": 5, "other": []},
            }
            await client.call(a.peers.address, PUSH_PATH, message, 5.0)
            await client.close()
            assert a.known_peers() == {"x"}
            assert list(a.directory.marks) == []

    async def test_bytes_are_counted(self):
        async with Node(1) as a, Node(2, a.peers.address) as b:
            await b.peers.round()
            assert a.metrics.value("events", str(Event.PEER_BYTES_OUT)) > 300
            assert b.metrics.value("events", str(Event.PEER_BYTES_OUT)) > 300


class TestPushIfSmallGroup:
    async def test_large_group_does_not_push(self):
        async with Node(1) as a:
            a.peers.push_if_small_group("config", [1])
            assert a.peers._pushes == {"config": [1]}
            a.peers._pushes.clear()
            for number in range(2, 20):
                member = [f"x-{number}", 1, 0, 0, "127.0.0.1:1", "r", "z", []]
                a.peers.membership.merge(Member.from_wire(member), a.clock.now())
            a.peers.push_if_small_group("config", [1])
            assert a.peers._pushes == {}
