import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.journal.backlog import (
    MAX_ENTRIES,
    STALE_ROW_AGE_S,
    Backlog,
    backlog_key,
    is_row_of,
    is_stale,
    merge_deadlines,
    replica_seconds,
)
from tests.lib.controller_fakes import make_deployment, make_document
from tests.lib.journal_fakes import make_keyed_call, make_request

POOL = make_deployment(
    name="pool", deadline_work=True, first_token_s=0.5, between_tokens_s=0.05
)


class TestReplicaSeconds:
    def test_generation_counts_maximum_tokens_at_target_latencies(self):
        request = make_request(max_tokens=100)
        assert replica_seconds(request, POOL, 4) == pytest.approx((0.5 + 5.0) / 4)

    def test_service_call_counts_the_assumed_duration(self):
        assert replica_seconds(make_keyed_call(max_tokens=0), POOL, 4) == 1.0


class TestMergeDeadlines:
    def test_few_entries_are_not_merged(self):
        assert merge_deadlines({30.0: 2.0, 10.0: 1.0}) == [[10.0, 1.0], [30.0, 2.0]]

    def test_merged_neighbours_get_the_earliest_deadline(self):
        work = {1.0: 1.0, 2.0: 2.0, 3.0: 4.0}
        assert merge_deadlines(work, 2) == [[1.0, 3.0], [3.0, 4.0]]

    @given(st.lists(st.integers(1, 10**6), max_size=700, unique=True))
    def test_no_work_is_lost_or_gets_a_later_deadline(self, deadlines):
        jobs = merge_deadlines({float(deadline): 1.0 for deadline in deadlines})
        assert len(jobs) <= MAX_ENTRIES
        assert sum(work for _, work in jobs) == len(deadlines)
        for limit, _ in jobs:
            due = sum(deadline <= limit for deadline in deadlines)
            assert sum(work for at, work in jobs if at <= limit) >= due


class TestBacklog:
    def test_sums_by_deployment_and_deadline(self):
        backlog = Backlog(make_document(POOL), lambda _name: 1)
        request = make_request(max_tokens=10, deadline=50.0)
        backlog.add([request, request, request._replace(deadline=90.0)])
        assert backlog.work_by_deployment() == {"pool": [[50.0, 2.0], [90.0, 1.0]]}

    def test_ignores_requests_without_deadline_or_deadline_work(self):
        urgent = make_deployment(name="hurried", deadline_work=False)
        backlog = Backlog(make_document(POOL, urgent), lambda _name: 1)
        request = make_request(deadline=50.0)
        backlog.add(
            [
                request._replace(deadline=0.0),
                request._replace(deployment="hurried"),
                request._replace(deployment="gone"),
            ]
        )
        assert backlog.work_by_deployment() == {}


class TestKeys:
    def test_row_belongs_only_to_the_node_in_its_key(self):
        key = backlog_key("pool", "n-1")
        assert key == "backlog/pool:n-1"
        assert is_row_of(key, "n-1")
        assert not is_row_of(key, "1")
        assert not is_row_of(key, "n-11")


class TestStaleRow:
    @pytest.mark.parametrize(
        ("value", "stale"),
        [
            ({"jobs": [[50.0, 1.0]], "at": 40.0}, True),
            ({"jobs": [], "at": 40}, True),
            ({"jobs": [[50.0, 1.0], [101.0, 1.0]], "at": 40.0}, False),
            ({"jobs": [[50.0, 1.0]], "at": 101.0}, False),
            ({"jobs": None}, False),
        ],
    )
    def test_row_is_stale_only_long_after_deadlines_and_renewal(self, value, stale):
        assert is_stale(value, 100.0 + STALE_ROW_AGE_S) is stale
