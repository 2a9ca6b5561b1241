"""Relays tell each other which version began a stream."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.peers.stream_versions import (
    STREAM_STARTS,
    STREAM_VERSION,
    SharingParts,
    StreamVersions,
)
from ebonydeal._internal.relay.view.view import RelayView
from tests.lib.clock import ManualClock, settle

TIMEOUT_S = 5.0
# Longer than the lifetime of streams without a configuration.
LONG_S = 40.0


class FollowedList:
    """A list of endpoints that has each change until now, or until it was lost."""

    def __init__(self, clock):
        self.clock, self.lost_at = clock, None

    @property
    def read_until(self):
        return self.clock.now() if self.lost_at is None else self.lost_at

    async def read_since(self, since, _timeout):
        return self.read_until >= since


class Relays:
    """Several relays that call each other without a network."""

    def __init__(self, clock, names, versions=("v1", "v2")):
        self.clock, self.lost, self.calls = clock, set(), []
        self.silent, self.all_known = set(), True
        self.lists = {name: FollowedList(clock) for name in names}
        self.relays = {name: self._relay(name, names, versions) for name in names}

    def _relay(self, name, names, versions):
        view = RelayView(2.0)
        for number, version in enumerate(versions):
            view.put(_member(version, number))
        view.members_known = True
        others = [other for other in names if other != name]
        parts = SharingParts(
            view,
            self,
            lambda: others,
            lambda: self.all_known,
            Metrics(),
            self.clock,
            lambda: self.lists[name],
            name,
        )
        return StreamVersions(parts)

    async def call(self, address, path, message, _timeout):
        self.calls.append((address, path))
        if address in self.lost:
            raise EbonydealError(ErrorKind.CONNECT_FAILED, address)
        if address in self.silent:
            raise EbonydealError(ErrorKind.STORE_IN_DOUBT, address)
        relay = self.relays[address]
        if path == STREAM_VERSION:
            return relay.answer(message)
        return relay.receive_starts(message)

    def reported_to(self):
        return {address for address, path in self.calls if path == STREAM_STARTS}

    async def __aenter__(self):
        for relay in self.relays.values():
            await relay.start()
        await settle()
        return self

    async def __aexit__(self, *_exc):
        for relay in self.relays.values():
            await relay.stop()


def _member(version, number):
    return Member(
        f"i{number}", "s", "1:1", "z", 8, False, None, False, 0.0, 1, version=version
    )


async def find(relay):
    return await relay.find_version("r2", "r1", "s")


class TestReports:
    async def test_two_relays_know_a_stream_besides_the_one_that_began_it(self):
        async with Relays(ManualClock(), "abcde") as all_relays:
            all_relays.relays["a"].record_start("r1", "s", "v2", TIMEOUT_S)
            await settle()
            assert len(all_relays.reported_to()) == 2
            all_relays.lost = {"a"}
            other = next(iter(set("bcde") - all_relays.reported_to()))
            assert await find(all_relays.relays[other]) == "v2"

    async def test_others_get_the_report_of_relays_that_are_lost(self):
        clock = ManualClock()
        async with Relays(clock, "abcde") as all_relays:
            all_relays.relays["a"].record_start("r0", "s", "v2", TIMEOUT_S)
            await settle()
            all_relays.lost = all_relays.reported_to()
            all_relays.calls = []
            await clock.advance(0.1)
            all_relays.relays["a"].record_start("r1", "s", "v2", TIMEOUT_S)
            await settle()
            assert len(all_relays.reported_to() - all_relays.lost) == 2

    async def test_nothing_is_reported_while_there_is_one_version(self):
        clock = ManualClock()
        async with Relays(clock, "abc", versions=("v1",)) as all_relays:
            await clock.advance(LONG_S)
            all_relays.relays["a"].record_start("r1", "s", "v1", TIMEOUT_S)
            await settle()
            assert all_relays.calls == []

    async def test_streams_are_reported_by_a_relay_that_may_have_missed_a_version(
        self,
    ):
        async with Relays(ManualClock(), "abc", versions=("v1",)) as all_relays:
            all_relays.relays["a"].record_start("r1", "s", "v1", TIMEOUT_S)
            await settle()
            assert len(all_relays.reported_to()) == 2

    async def test_earlier_streams_are_reported_once_the_list_is_not_read_any_more(
        self,
    ):
        clock = ManualClock()
        async with Relays(clock, "abc", versions=("v1",)) as all_relays:
            await clock.advance(LONG_S)
            first = all_relays.relays["a"]
            first.record_start("r1", "s", "v1", LONG_S)
            await settle()
            assert all_relays.calls == []
            all_relays.lists["a"].lost_at = clock.now()
            await clock.advance(4.5)
            assert len(all_relays.reported_to()) == 2
            all_relays.lost = {"a"}
            all_relays.lists["b"].lost_at = clock.now()
            assert await find(all_relays.relays["b"]) == "v1"

    async def test_earlier_streams_are_reported_once_a_second_version_comes(self):
        clock = ManualClock()
        async with Relays(clock, "abc", versions=("v1",)) as all_relays:
            first = all_relays.relays["a"]
            first.record_start("r1", "s", "v1", TIMEOUT_S)
            first._parts.view.put(_member("v2", 7))
            await clock.advance(0.3)
            assert len(all_relays.reported_to()) == 2


class TestQuestions:
    async def test_only_version_of_a_lifetime_is_known_without_a_call(self):
        clock = ManualClock()
        async with Relays(clock, "abc", versions=("v1",)) as all_relays:
            await clock.advance(LONG_S)
            assert await find(all_relays.relays["b"]) == "v1"
            assert all_relays.calls == []

    async def test_relay_that_started_late_learns_of_a_version_that_is_gone(self):
        async with Relays(ManualClock(), "abc") as all_relays:
            late = all_relays.relays["a"]
            late._parts.view.remove("i0", 9)
            late._history = type(late._history)(TIMEOUT_S)
            with pytest.raises(EbonydealError):
                await find(late)

    async def test_only_version_of_a_list_that_is_not_read_is_not_taken(self):
        """A version may have joined since."""
        clock = ManualClock()
        async with Relays(clock, "abc", versions=("v1",)) as all_relays:
            await clock.advance(LONG_S)
            all_relays.lists["b"].lost_at = clock.now() - 0.1
            with pytest.raises(EbonydealError) as caught:
                await find(all_relays.relays["b"])
        assert caught.value.response.status == 503

    async def test_other_relays_versions_of_too_long_ago_are_not_taken(self):
        """A version may have come and gone before this relay started."""
        async with self.relay_that_started_since() as (all_relays, late):
            for name in "bc":
                all_relays.lists[name].lost_at = late._parts.clock.now() - 1.0
                all_relays.relays[name]._history.read_until -= 1.0
            with pytest.raises(EbonydealError):
                await find(late)

    async def test_only_version_is_not_taken_after_an_unknown_endpoint_has_left(self):
        clock = ManualClock()
        async with Relays(clock, "abc", versions=("v1",)) as all_relays:
            await clock.advance(LONG_S)
            for relay in all_relays.relays.values():
                relay._parts.view.remove("i9", 9)
            with pytest.raises(EbonydealError):
                await find(all_relays.relays["b"])

    async def test_stream_that_no_relay_knows_is_refused(self):
        async with Relays(ManualClock(), "abc") as all_relays:
            with pytest.raises(EbonydealError) as caught:
                await find(all_relays.relays["a"])
        assert caught.value.kind is ErrorKind.STREAM_VERSION_UNKNOWN
        assert caught.value.response.status == 503

    @asynccontextmanager
    async def relay_that_started_since(self):
        """One of three relays has just started; the others saw one version."""
        clock = ManualClock()
        async with Relays(clock, "abc", versions=("v1",)) as all_relays:
            await clock.advance(LONG_S)
            late = all_relays.relays["a"]
            late._history = type(late._history)(TIMEOUT_S)
            yield all_relays, late

    async def test_only_version_that_all_relays_have_seen_is_taken(self):
        async with self.relay_that_started_since() as (all_relays, late):
            all_relays.lost = {"c"}
            assert await find(late) == "v1"

    @pytest.mark.parametrize(("silent", "all_known"), [({"c"}, True), (set(), False)])
    async def test_it_is_not_taken_where_another_relay_may_know(
        self, silent, all_known
    ):
        async with self.relay_that_started_since() as (all_relays, late):
            all_relays.silent, all_relays.all_known = silent, all_known
            with pytest.raises(EbonydealError):
                await find(late)

    async def test_only_listed_version_is_not_taken_if_all_relays_have_just_started(
        self,
    ):
        """Another version may have left while there were none."""
        async with Relays(ManualClock(), "abc", versions=("v2",)) as all_relays:
            with pytest.raises(EbonydealError):
                await find(all_relays.relays["a"])

    @pytest.mark.parametrize(
        ("stored", "found"), [(["v2"], "v2"), (["v1", "v2"], None), (["v1"], None)]
    )
    async def test_stored_versions_tell_whether_it_was_the_only_one(
        self, stored, found
    ):
        async with Relays(ManualClock(), "abc", versions=("v2",)) as all_relays:
            all_relays.all_known = False
            late = all_relays.relays["a"]
            late.restore_versions({"s": stored})
            if found is None:
                with pytest.raises(EbonydealError):
                    await find(late)
            else:
                assert await find(late) == found

    async def test_first_reply_that_knows_is_enough(self):
        async with Relays(ManualClock(), "abc") as all_relays:
            all_relays.relays["b"].record_start("r1", "s", "v1", TIMEOUT_S)
            await settle()
            silent = asyncio.Event()
            call = all_relays.call

            async def one_is_silent(address, path, message, timeout):
                if address == "c":
                    await silent.wait()
                return await call(address, path, message, timeout)

            all_relays.call = one_is_silent
            relay = all_relays.relays["a"]
            relay._starts.expire(1e9)
            async with asyncio.timeout(1.0):
                assert await find(relay) == "v1"
