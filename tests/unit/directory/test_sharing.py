import random
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.directory.service import NOTICE_READS_PER_PERIOD, Directory
from ebonydeal._internal.directory.sharing import (
    GONE_TTL_S,
    EndpointRecord,
    SharedInstanceList,
    should_read,
)
from ebonydeal._internal.models.endpoints import EndpointState
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.peers.endpoints_topic import EndpointsTopic
from ebonydeal._internal.settings.directory import DirectorySettings
from tests.lib.clock import ManualClock
from tests.lib.endpoints import ListedInstances, make_view

RECORDS = st.builds(
    EndpointRecord,
    view=st.builds(
        make_view,
        endpoint_id=st.sampled_from(["i-1", "i-2"]),
        incarnation=st.integers(1, 2),
        state=st.sampled_from(list(EndpointState)),
    ),
    gone=st.booleans(),
    at=st.integers(1, 1000).map(float),
)


def unique(records: list[EndpointRecord]) -> list[EndpointRecord]:
    """Keep one record for each endpoint and order, as a single read yields."""
    return list({(f.view.endpoint_id, f.order): f for f in records}.values())


class TestSharedList:
    @given(st.lists(RECORDS, max_size=8), st.randoms(use_true_random=False))
    def test_any_order_and_repeats_end_the_same(self, records, rng):
        records = unique(records)
        first = SharedInstanceList()
        second = SharedInstanceList()
        first.apply_list([make_view("i-1"), make_view("i-2")], 0.0)
        second.apply_list([make_view("i-1"), make_view("i-2")], 0.0)
        shuffled = records * 2
        rng.shuffle(shuffled)
        for record in sorted(records, key=lambda item: item.order):
            first.merge(record, 1000.0)
        for record in shuffled:
            second.merge(record, 1000.0)
        by_id = {view.endpoint_id: view for view in first.views()}
        assert {view.endpoint_id: view for view in second.views()} == by_id
        assert second.hashes.root_hash() == first.hashes.root_hash()

    def test_read_returns_only_changes(self):
        shared = SharedInstanceList()
        views = [make_view("i-1"), make_view("i-2")]
        assert len(shared.apply_list(views, 1.0)) == 2
        assert shared.apply_list(views, 2.0) == []
        changed = shared.apply_list([views[0]], 3.0)
        assert [(record.view.endpoint_id, record.gone) for record in changed] == [
            ("i-2", True)
        ]
        assert shared.views() == [views[0]]

    def test_price_is_applied_but_not_spread(self):
        shared = SharedInstanceList()
        shared.apply_list([make_view(price_per_hour=1.0)], 1.0)
        assert shared.apply_list([make_view(price_per_hour=2.0)], 2.0) == []
        assert shared.views()[0].price_per_hour == 2.0

    def test_record_that_another_process_read_later_remains(self):
        shared = SharedInstanceList()
        shared.apply_list([make_view()], 1.0)
        shared.merge(EndpointRecord(make_view(), True, 9.0), 9.0)
        assert shared.apply_list([make_view()], 5.0) == []
        assert shared.views() == []

    def test_clock_ahead_does_not_block_later_records(self):
        shared = SharedInstanceList()
        shared.apply_list([make_view()], 1.0)
        shared.merge(EndpointRecord(make_view(), True, 1e12), 2.0)
        shared.apply_list([make_view()], 3.0)
        assert shared.views() == [make_view()]

    def test_gone_endpoints_expire(self):
        shared = SharedInstanceList()
        shared.apply_list([make_view()], 1.0)
        shared.apply_list([], 2.0)
        shared.expire(3.0 + GONE_TTL_S)
        assert len(shared.hashes) == 0

    @pytest.mark.parametrize("item", [None, 1, [], ["x"] * 14, [""] * 14, {"a": 1}])
    def test_malformed_record_is_rejected(self, item):
        assert EndpointRecord.from_wire(item) is None

    @given(RECORDS)
    def test_wire_shape_round_trips(self, record):
        assert EndpointRecord.from_wire(record.to_wire()) == record


class TestShouldRead:
    def test_one_read_per_period_whatever_the_number_of_readers(self):
        rng = random.Random(5)
        for readers in (1, 9, 350):
            reads = sum(should_read(readers, rng.random()) for _ in range(20_000))
            assert reads == pytest.approx(20_000 / readers, rel=0.35)
        assert should_read(0, 0.999)

    @pytest.mark.parametrize("readers", [2, 9, 45, 200])
    def test_no_gap_between_notice_reads_exceeds_the_limit(self, readers):
        rng = random.Random(readers)
        times = [0.0]
        for _ in range(readers):
            now = rng.uniform(0.0, 1.0)
            while now < 1000.0:
                if should_read(readers, rng.random(), NOTICE_READS_PER_PERIOD):
                    times.append(now)
                now += rng.uniform(0.5, 1.5)
        times.sort()
        gaps = [after - before for before, after in pairwise(times)]
        assert max(gaps) < 2.5
        assert len(times) < 1000 * NOTICE_READS_PER_PERIOD * 1.1


class TestEndpointsTopic:
    def test_missing_record_is_found_by_hashes(self):
        ours, theirs = SharedInstanceList(), SharedInstanceList()
        ours.apply_list([make_view("i-1"), make_view("i-2")], 1.0)
        theirs.apply_list([make_view("i-1")], 1.0)
        mine = EndpointsTopic(ours, lambda records: None)
        received: list[EndpointRecord] = []
        other = EndpointsTopic(theirs, received.extend)
        assert mine.payload_for(other.digest()) is None
        assert other.payload_for(mine.digest()) is None
        other.receive(mine.payload_for(other.digest()))
        assert "i-2" in {record.view.endpoint_id for record in received}


class TestDirectorySharing:
    def build(self, *views) -> Directory:
        return Directory(
            DirectorySettings(),
            ListedInstances(*views),
            Metrics(),
            ManualClock(),
            random.Random(1),
        )

    async def test_single_records_are_not_applied_as_the_list(self):
        directory = self.build()
        directory.receive_records([EndpointRecord(make_view(), False, 1.0)])
        assert not directory.ready
        assert directory.all_views() == ()

    async def test_record_of_a_peer_is_applied_and_forwarded_once(self):
        directory = self.build(make_view("i-1"))
        await directory._read_list()
        forwarded: list[EndpointRecord] = []
        directory.on_records(forwarded.extend)
        record = EndpointRecord(make_view("i-2"), False, 1_000_001.0)
        directory.receive_records([record])
        directory.receive_records([record])
        assert {view.endpoint_id for view in directory.all_views()} == {"i-1", "i-2"}
        assert forwarded == [record]
