import random

from ebonydeal._internal.controller.notices import ReclaimNotices
from ebonydeal._internal.controller.start_backoff import StartBackoff
from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.outside.interfaces import CloudInstance, ReclaimNotice

NOW = 1000.0


def machine(name: str, zone: str, started: float, reclaimable: bool = True):
    return CloudInstance(name, name, zone, "l", reclaimable, "", "", started, {})


class TestReclaimNotices:
    def test_mark_of_an_instance_notice_has_its_incarnation(self):
        reclaim_notices = ReclaimNotices()
        marks = reclaim_notices.record(
            [ReclaimNotice(3, "i-1", "a", NOW + 30)], {"i-1": 7}, NOW
        )
        assert [(m.endpoint_id, m.incarnation, m.zone) for m in marks] == [
            ("i-1", 7, "")
        ]
        assert reclaim_notices.last_seq == 3
        assert reclaim_notices.deadline(machine("i-1", "a", 0.0)) == NOW + 30
        assert reclaim_notices.deadline(machine("i-2", "a", 0.0)) is None

    def test_zone_notice_applies_to_instances_started_before_it(self):
        reclaim_notices = ReclaimNotices()
        marks = reclaim_notices.record([ReclaimNotice(1, "", "a", NOW + 30)], {}, NOW)
        assert [(m.endpoint_id, m.zone, m.at) for m in marks] == [("", "a", NOW)]
        assert reclaim_notices.deadline(machine("i", "a", NOW - 1)) == NOW + 30
        assert reclaim_notices.deadline(machine("i", "a", NOW + 1)) is None
        assert reclaim_notices.deadline(machine("i", "a", NOW - 1, False)) is None
        assert reclaim_notices.recently_reclaimed_zones(NOW + 299, 300.0) == {"a"}
        assert reclaim_notices.recently_reclaimed_zones(NOW + 300, 300.0) == frozenset()

    def test_expired_zone_notice_is_ignored_after_a_restart(self):
        reclaim_notices = ReclaimNotices()
        assert (
            reclaim_notices.record([ReclaimNotice(1, "", "a", NOW - 1)], {}, NOW) == []
        )
        assert reclaim_notices.deadline(machine("i", "a", NOW - 100)) is None


class TestStartBackoff:
    KEY = OfferKey("a", "l", True)

    def test_backoff_grows_up_to_the_maximum(self):
        start_backoff = StartBackoff(10.0, 60.0, random.Random(1))
        waits = [start_backoff.record_refusal(self.KEY, NOW) for _ in range(6)]
        assert all(0.75 * 10 <= waits[0] <= w <= 1.25 * 60 for w in waits[1:])
        assert all(0.75 * 60 <= w <= 1.25 * 60 for w in waits[3:])
        assert start_backoff.blocked_offers(NOW) == {self.KEY}
        assert start_backoff.blocked_offers(NOW + 76.0) == frozenset()

    def test_successful_start_ends_the_backoff(self):
        start_backoff = StartBackoff(10.0, 60.0, random.Random(1))
        start_backoff.record_refusal(self.KEY, NOW)
        start_backoff.record_start(self.KEY)
        assert start_backoff.blocked_offers(NOW) == frozenset()

    def test_block_expires_after_its_time(self):
        start_backoff = StartBackoff(10.0, 60.0, random.Random(1))
        start_backoff.block(self.KEY, NOW, 5.0)
        assert start_backoff.blocked_offers(NOW + 4.9) == {self.KEY}
        assert start_backoff.blocked_offers(NOW + 5.0) == frozenset()
