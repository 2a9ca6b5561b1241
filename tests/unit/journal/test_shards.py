from ebonydeal._internal.journal.claims import ShardRow
from ebonydeal._internal.journal.leases import (
    LeaseWatch,
    LiveNode,
    NodeLease,
    renewal_interval,
)
from ebonydeal._internal.journal.pacing import Budget, Pacer
from ebonydeal._internal.journal.shards import (
    ClaimableSince,
    HeldShard,
    Plan,
    plan,
    ranking,
)
from ebonydeal._internal.journal.workqueue import WorkQueue, order_of
from tests.lib.journal_fakes import make_request

SHARDS = 64


def lease(beat=1, incarnation=1):
    return NodeLease("a:1", "wales", "wales-1", incarnation, ("journal",), 0, beat, 3.0)


def live(*names, since=0.0):
    return {name: LiveNode(name, f"{name}:1", 1, since) for name in names}


def row(owner, incarnation=1, epoch=1):
    return ShardRow(owner, f"{owner}:1", epoch, incarnation, "c")


def decide(me, nodes, rows, held=(), now=1000.0, claimable_since=None):
    held = {shard: HeldShard(shard, since) for shard, since in held}
    return plan(
        me,
        SHARDS,
        rows,
        nodes,
        held,
        claimable_since or ClaimableSince(),
        now,
        9.0,
        20.0,
        6.0,
    )


class TestLeaseWatch:
    def test_unchanged_lease_expires(self):
        watch = LeaseWatch(9.0)
        for now in range(0, 20, 3):
            watch.observe({"a": lease(beat=now), "b": lease(beat=1)}, float(now))
        assert set(watch.live(18.0)) == {"a"}

    def test_time_without_reads_expires_no_lease(self):
        watch = LeaseWatch(9.0)
        watch.observe({"a": lease()}, 0.0)
        watch.observe({"a": lease()}, 300.0)
        assert set(watch.live(300.0)) == {"a"}

    def test_long_read_interval_is_not_taken_for_an_outage(self):
        watch = LeaseWatch(9.0)
        for now in range(0, 150, 30):
            watch.observe({"a": lease()}, float(now), read_interval=30.0)
        assert watch.live(120.0) == {}

    def test_new_incarnation_restarts_the_lease(self):
        watch = LeaseWatch(9.0)
        watch.observe({"a": lease(beat=1)}, 0.0)
        watch.observe({"a": lease(beat=1, incarnation=2)}, 3.0)
        assert watch.live(3.0)["a"] == LiveNode("a", "a:1", 2, 3.0)

    def test_deleted_lease_ends_at_once(self):
        watch = LeaseWatch(9.0)
        watch.observe({"a": lease()}, 0.0)
        watch.observe({}, 1.0)
        assert watch.live(1.0) == {}

    def test_many_nodes_renew_less_often(self):
        assert renewal_interval(3.0, 9, 5.0) == 3.0
        assert renewal_interval(3.0, 500, 5.0) == 100.0


class TestPlan:
    def test_each_shard_is_claimed_by_exactly_one_node(self):
        nodes = live("a", "b", "c")
        claims = [set(decide(me, nodes, {}).claim) for me in nodes]
        assert set.union(*claims) == set(range(SHARDS))
        assert sum(len(item) for item in claims) == SHARDS

    def test_joining_node_moves_only_its_own_shards(self):
        before = {s: ranking(s, live("a", "b"))[0] for s in range(SHARDS)}
        after = {s: ranking(s, live("a", "b", "c"))[0] for s in range(SHARDS)}
        moved = [s for s in before if before[s] != after[s]]
        assert moved and all(after[s] == "c" for s in moved)

    def test_shards_of_a_live_owner_are_not_claimed(self):
        rows = {s: row("b") for s in range(SHARDS)}
        assert decide("a", live("a", "b"), rows).claim == ()

    def test_shards_of_a_restarted_owner_are_claimed(self):
        rows = {s: row("b", incarnation=0) for s in range(SHARDS)}
        assert decide("a", live("a", "b"), rows).claim != ()

    def test_only_a_settled_node_takes_over_from_a_silent_owner(self):
        rows = {s: row("dead") for s in range(SHARDS)}
        fresh = decide("a", live("a", since=995.0), rows)
        settled = decide("a", live("a", since=900.0), rows)
        assert fresh.claim == ()
        assert settled.claim == tuple(range(SHARDS))

    def test_lower_ranked_node_claims_only_after_its_grace(self):
        nodes = live("a", "b")
        claimable_since = ClaimableSince()
        first = decide("a", nodes, {}, now=1000.0, claimable_since=claimable_since)
        later = decide("a", nodes, {}, now=1006.0, claimable_since=claimable_since)
        assert len(first.claim) < SHARDS
        assert later.claim == tuple(range(SHARDS))

    def test_one_shard_at_a_time_moves_and_only_to_a_settled_node(self):
        rows = {s: row("a") for s in range(SHARDS)}
        held = [(s, 0.0) for s in range(SHARDS)]
        nodes = live("a") | live("b", since=990.0)
        assert decide("a", nodes, rows, held).hand_over is None
        moved = decide("a", live("a", "b"), rows, held).hand_over
        assert moved is not None and ranking(moved, nodes)[0] == "b"

    def test_node_without_a_live_lease_claims_nothing(self):
        assert decide("a", live("b"), {}) == Plan((), None)


class TestPacer:
    def test_batch_is_written_at_once_at_light_load(self):
        pacer = Pacer(Budget(2.0, 0.0), 0.0)
        pacer.take("a", 0.0, False)
        assert pacer.wait("a", 1.0, False) == 0.0

    def test_budget_is_kept_and_shared_evenly(self):
        pacer = Pacer(Budget(10.0, 0.0), 0.0, owners=2)
        now, counts = 0.0, {"a": 0, "b": 0, "c": 0}
        while now < 100.0:
            waits = {writer: pacer.wait(writer, now, False) for writer in counts}
            first = min(waits, key=waits.get)
            if waits[first]:
                now += waits[first]
                continue
            pacer.take(first, now, False)
            counts[first] += 1
        assert 500 <= sum(counts.values()) <= 503
        assert max(counts.values()) - min(counts.values()) <= 1

    def test_urgent_batches_have_separate_tokens(self):
        pacer = Pacer(Budget(1.0, 1.0), 0.0)
        for _ in range(2):
            pacer.take("a", 0.0, False)
        assert pacer.wait("a", 0.0, False) == 1.0
        assert pacer.wait("b", 0.0, True) == 0.0
        pacer.take("b", 0.0, True)
        assert pacer.wait("a", 0.0, False) == 1.0

    def test_removed_writer_delays_no_other(self):
        pacer = Pacer(Budget(1.0, 0.0), 0.0)
        for _ in range(2):
            pacer.take("a", 0.0, False)
        assert pacer.wait("a", 0.0, False) == 1.0
        assert pacer.wait("b", 0.0, False) == 2.0
        pacer.remove("a")
        assert pacer.wait("b", 0.0, False) == 1.0


class TestWorkQueue:
    def test_earliest_deadline_is_taken_first(self):
        queue = WorkQueue()
        for name, deadline in (("late", 900.0), ("none", 0.0), ("early", 100.0)):
            request = make_request(name, deadline=deadline)
            queue.push("pool", order_of(request), name)
        assert [queue.take(0.0) for _ in range(4)] == ["early", "late", "none", None]

    def test_blocked_deployment_delays_no_other(self):
        queue = WorkQueue()
        queue.push("pool", order_of(make_request(deadline=1.0)), "a")
        queue.push("other", order_of(make_request(deadline=2.0)), "b")
        queue.block("pool", 5.0)
        assert queue.take(0.0) == "b"
        assert queue.take(0.0) is None
        assert queue.next_at() == 5.0
        assert queue.take(5.0) == "a"

    def test_item_is_not_taken_before_its_time(self):
        queue = WorkQueue()
        queue.push("pool", order_of(make_request()), "a", not_before=3.0)
        assert queue.take(2.9) is None
        assert queue.next_at() == 3.0
        assert queue.take(3.0) == "a"
