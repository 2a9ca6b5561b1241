import random

from ebonydeal._internal.controller.notices import NoticeBook
from ebonydeal._internal.controller.refusals import Refusals
from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.outside.interfaces import CloudInstance, ReclaimNotice

NOW = 1000.0


def machine(name: str, zone: str, started: float, reclaimable: bool = True):
    return CloudInstance(name, name, zone, "l", reclaimable, "", "", started, {})


class TestNoticeBook:
    def test_an_instance_notice_is_marked_with_its_incarnation(self):
        book = NoticeBook()
        marks = book.note([ReclaimNotice(3, "i-1", "a", NOW + 30)], {"i-1": 7}, NOW)
        assert [(m.endpoint_id, m.incarnation, m.zone) for m in marks] == [
            ("i-1", 7, "")
        ]
        assert book.after == 3
        assert book.deadline(machine("i-1", "a", 0.0)) == NOW + 30
        assert book.deadline(machine("i-2", "a", 0.0)) is None

    def test_a_zone_notice_covers_what_was_started_before_it(self):
        book = NoticeBook()
        marks = book.note([ReclaimNotice(1, "", "a", NOW + 30)], {}, NOW)
        assert [(m.endpoint_id, m.zone, m.at) for m in marks] == [("", "a", NOW)]
        assert book.deadline(machine("i", "a", NOW - 1)) == NOW + 30
        assert book.deadline(machine("i", "a", NOW + 1)) is None
        assert book.deadline(machine("i", "a", NOW - 1, False)) is None
        assert book.zones(NOW + 299, 300.0) == {"a"}
        assert book.zones(NOW + 300, 300.0) == frozenset()

    def test_a_zone_notice_read_after_a_restart_is_past(self):
        book = NoticeBook()
        assert book.note([ReclaimNotice(1, "", "a", NOW - 1)], {}, NOW) == []
        assert book.deadline(machine("i", "a", NOW - 100)) is None


class TestRefusals:
    KEY = OfferKey("a", "l", True)

    def test_backs_off_longer_each_time_up_to_a_limit(self):
        refusals = Refusals(10.0, 60.0, random.Random(1))
        waits = [refusals.refused(self.KEY, NOW) for _ in range(6)]
        assert all(0.75 * 10 <= waits[0] <= w <= 1.25 * 60 for w in waits[1:])
        assert all(0.75 * 60 <= w <= 1.25 * 60 for w in waits[3:])
        assert refusals.blocked(NOW) == {self.KEY}
        assert refusals.blocked(NOW + 76.0) == frozenset()

    def test_a_start_ends_it(self):
        refusals = Refusals(10.0, 60.0, random.Random(1))
        refusals.refused(self.KEY, NOW)
        refusals.started(self.KEY)
        assert refusals.blocked(NOW) == frozenset()

    def test_other_offers_are_not_touched(self):
        refusals = Refusals(10.0, 60.0, random.Random(1))
        refusals.avoid(self.KEY, NOW, 5.0)
        assert refusals.blocked(NOW + 4.9) == {self.KEY}
        assert refusals.blocked(NOW + 5.0) == frozenset()
