import random

from ebonydeal._internal.models.forwarding import Member, PromptPart
from ebonydeal._internal.routing.long_lanes import LongLanes
from ebonydeal._internal.routing.member_choice import Ask, MemberChoice

MEMBERS = [
    Member(f"i{n}", "s", f"i{n}:1", "z", 64, False, None, True, 0.0, n)
    for n in range(6)
]


def taught(share, least=0.25, seed=1):
    """Return lanes after a minute of prompts, ``share`` of the reading long."""
    lanes = LongLanes(least)
    rng = random.Random(seed)
    for step in range(600):
        long = rng.random() < share / 10.0
        lanes.note("s", 0.5 if long else 0.05, 100.0 + step / 10.0)
    return lanes


class TestLanes:
    def test_all_relays_pick_the_same_whatever_order_they_know(self):
        mixed = list(MEMBERS)
        random.Random(3).shuffle(mixed)
        one, two = taught(0.3, seed=1), taught(0.3, seed=2)
        few, many = sorted([one.of(MEMBERS, 160.0), two.of(mixed, 160.0)], key=len)
        assert few and few <= many

    def test_more_reading_of_long_prompts_takes_more_endpoints(self):
        few, many = taught(0.2).of(MEMBERS, 160.0), taught(0.9).of(MEMBERS, 160.0)
        assert few < many
        assert len(many) < len(MEMBERS)

    def test_without_long_prompts_there_are_none(self):
        assert taught(0.0).of(MEMBERS, 160.0) == frozenset()

    def test_nor_long_after_the_last_one(self):
        assert taught(0.3).of(MEMBERS, 400.0) == frozenset()

    def test_nor_among_few_endpoints(self):
        assert taught(0.3).of(MEMBERS[:2], 160.0) == frozenset()

    def test_switched_off(self):
        assert taught(0.3, least=0.0).of(MEMBERS, 160.0) == frozenset()


class TestChoice:
    LONG = Ask((PromptPart("own", 40_000),), 40_000, "z")
    SHORT = Ask((PromptPart("other", 800),), 800, "z")

    def test_long_prompts_meet_and_short_ones_go_elsewhere(self):
        choice = MemberChoice(8.0)
        choice.ended(choice.sent(self.LONG, MEMBERS[0], 40_000.0, 100.0))
        long = choice.engine(self.LONG, MEMBERS, 101.0).endpoint_id
        short = choice.engine(self.SHORT, MEMBERS, 101.0).endpoint_id
        assert long != short
        assert choice.engine(self.LONG, MEMBERS, 102.0).endpoint_id == long

    def test_a_short_one_doesnt_wait_while_the_lane_idles(self):
        choice = MemberChoice(8.0)
        choice.ended(choice.sent(self.LONG, MEMBERS[0], 40_000.0, 100.0))
        lane = choice.engine(self.LONG, MEMBERS, 101.0).endpoint_id
        for member in MEMBERS:
            if member.endpoint_id != lane:
                choice.sent(self.LONG, member, 40_000.0, 101.0)
        assert choice.engine(self.SHORT, MEMBERS, 101.0).endpoint_id == lane
