from ebonydeal._internal.models.forwarding import Member, PromptPart
from ebonydeal._internal.routing.member_choice import (
    Ask,
    MemberChoice,
    Told,
    home_of,
)


def member(name, zone="z", slots=8):
    return Member(name, "s", f"{name}:1", zone, slots, False, None, False, 0.0, 1)


MEMBERS = [member(f"i{n}") for n in range(4)]
PARTS = (PromptPart("head", 2000), PromptPart("session", 4000), PromptPart("own", 500))
ASK = Ask(PARTS, 6500, "z")


class TestEngines:
    def test_a_session_stays_where_it_was_read(self):
        choice = MemberChoice(8.0)
        first = choice.engine(ASK, MEMBERS, 1.0)
        there = next(m for m in MEMBERS if m.endpoint_id == first.endpoint_id)
        choice.ended(choice.sent(ASK, there, first.missed, 1.0))
        again = choice.engine(ASK, MEMBERS, 2.0)
        assert again.endpoint_id == first.endpoint_id
        assert again.missed == 500.0

    def test_what_was_read_long_ago_counts_no_more(self):
        choice = MemberChoice(8.0)
        other = next(m for m in MEMBERS if m.endpoint_id != home_of(PARTS, MEMBERS))
        choice.ended(choice.sent(ASK, other, 6500.0, 1.0))
        assert choice.engine(ASK, MEMBERS, 9.5).endpoint_id != other.endpoint_id

    def test_relays_that_never_met_agree_on_a_home(self):
        ids = {MemberChoice(8.0).engine(ASK, MEMBERS, 1.0).endpoint_id for _ in "ab"}
        assert ids == {home_of(PARTS, MEMBERS)}
        assert home_of(PARTS, MEMBERS) == home_of(PARTS, MEMBERS[::-1])

    def test_waiting_tokens_send_it_elsewhere(self):
        choice = MemberChoice(8.0)
        home = home_of(PARTS, MEMBERS)
        choice.told({home: Told(running=3, unread=200_000.0, at=1.0)})
        assert choice.engine(ASK, MEMBERS, 1.0).endpoint_id != home

    def test_a_full_batch_counts(self):
        choice = MemberChoice(8.0)
        home = home_of(PARTS, MEMBERS)
        choice.told({home: Told(running=8, unread=0.0, at=1.0)})
        assert choice.engine(ASK, MEMBERS, 1.0).endpoint_id != home

    def test_none_without_members(self):
        assert MemberChoice(8.0).engine(ASK, [], 1.0) is None


class TestPlain:
    def test_own_zone_first_then_room(self):
        choice = MemberChoice(8.0)
        near, far = member("near", "z", 2), member("far", "y", 2)
        ask = Ask((), 0, "z")
        assert choice.plain("z", [far, near]) == near
        choice.sent(ask, near, 0.0, 1.0)
        choice.sent(ask, near, 0.0, 1.0)
        assert choice.plain("z", [far, near]) == far

    def test_ended_requests_give_room_back(self):
        choice = MemberChoice(8.0)
        near, far = member("near", "z", 1), member("far", "y", 1)
        sent = choice.sent(Ask((), 0, "z"), near, 0.0, 1.0)
        choice.ended(sent)
        assert choice.plain("z", [far, near]) == near


class TestLearning:
    def play(self, rate, base):
        choice = MemberChoice(8.0)
        now = 0.0
        for tokens in [200, 8000, 6000, 300, 9000] * 40:
            ask = Ask((), tokens, "z")
            sent = choice.sent(ask, MEMBERS[0], float(tokens), now)
            now += base + tokens / rate
            choice.ended(choice.began(sent, now))
        return choice

    def test_rate_and_fixed_time_come_from_answers(self):
        choice = self.play(rate=90_000.0, base=0.1)
        assert 80_000 < choice.rate < 100_000
        assert 0.09 < choice.base < 0.11

    def test_work_is_seconds_of_an_endpoint(self):
        choice = self.play(rate=90_000.0, base=0.1)
        assert set(choice.work(0.0)) == {"s"}
