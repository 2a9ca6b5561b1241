from ebonydeal._internal.models.forwarding import Member, PromptPart
from ebonydeal._internal.routing.placement.endpoint_load import ReportedLoad
from ebonydeal._internal.routing.placement.endpoint_selector import (
    EndpointSelector,
    SelectionRequest,
    home_of,
)


def member(name, zone="z", slots=8):
    return Member(name, "s", f"{name}:1", zone, slots, False, None, False, 0.0, 1)


MEMBERS = [member(f"i{n}") for n in range(4)]
PARTS = (PromptPart("head", 2000), PromptPart("session", 4000), PromptPart("own", 500))
ASK = SelectionRequest(PARTS, 6500, "z")


class TestEngines:
    def test_a_session_stays_where_it_was_read(self):
        choice = EndpointSelector(8.0)
        first = choice.select_engine(ASK, MEMBERS, 1.0)
        there = next(m for m in MEMBERS if m.endpoint_id == first.endpoint_id)
        choice.record_end(choice.record_sent(ASK, there, first.uncached_tokens, 1.0))
        again = choice.select_engine(ASK, MEMBERS, 2.0)
        assert again.endpoint_id == first.endpoint_id
        assert again.uncached_tokens == 500.0

    def test_what_was_read_long_ago_counts_no_more(self):
        choice = EndpointSelector(8.0)
        other = next(m for m in MEMBERS if m.endpoint_id != home_of(PARTS, MEMBERS))
        choice.record_end(choice.record_sent(ASK, other, 6500.0, 1.0))
        assert choice.select_engine(ASK, MEMBERS, 9.5).endpoint_id != other.endpoint_id

    def test_relays_that_never_met_agree_on_a_home(self):
        ids = {
            EndpointSelector(8.0).select_engine(ASK, MEMBERS, 1.0).endpoint_id
            for _ in "ab"
        }
        assert ids == {home_of(PARTS, MEMBERS)}
        assert home_of(PARTS, MEMBERS) == home_of(PARTS, MEMBERS[::-1])

    def test_waiting_tokens_send_it_elsewhere(self):
        choice = EndpointSelector(8.0)
        home = home_of(PARTS, MEMBERS)
        choice.update_reported_loads(
            {home: ReportedLoad(running=3, pending_prefill_tokens=200_000.0, at=1.0)}
        )
        assert choice.select_engine(ASK, MEMBERS, 1.0).endpoint_id != home

    def test_a_full_batch_counts(self):
        choice = EndpointSelector(8.0)
        home = home_of(PARTS, MEMBERS)
        choice.update_reported_loads(
            {home: ReportedLoad(running=8, pending_prefill_tokens=0.0, at=1.0)}
        )
        assert choice.select_engine(ASK, MEMBERS, 1.0).endpoint_id != home

    def test_none_without_members(self):
        assert EndpointSelector(8.0).select_engine(ASK, [], 1.0) is None


class TestFetch:
    FETCHES = ASK._replace(fetches=True)

    def loaded(self, choice):
        """Let a session be read at one engine that has much to read since."""
        first = choice.select_engine(self.FETCHES, MEMBERS, 1.0)
        there = next(m for m in MEMBERS if m.endpoint_id == first.endpoint_id)
        choice.record_end(
            choice.record_sent(self.FETCHES, there, first.uncached_tokens, 1.0)
        )
        choice.update_reported_loads(
            {
                there.endpoint_id: ReportedLoad(
                    running=3, pending_prefill_tokens=400_000.0, at=1.0
                )
            }
        )
        return there.endpoint_id

    def test_parts_are_fetched_from_where_they_were_read(self):
        choice = EndpointSelector(8.0)
        source = self.loaded(choice)
        score = choice.select_engine(self.FETCHES, MEMBERS, 2.0)
        assert score.endpoint_id != source
        assert score.source == source
        # Only its own part is left to read.
        assert score.uncached_tokens == 500.0

    def test_engines_that_pass_nothing_on_read_all_again(self):
        choice = EndpointSelector(8.0)
        self.loaded(choice)
        score = choice.select_engine(ASK, MEMBERS, 2.0)
        assert (score.source, score.uncached_tokens) == ("", 6500.0)

    def test_going_where_the_parts_lie_comes_before_a_fetch(self):
        choice = EndpointSelector(8.0)
        first = choice.select_engine(self.FETCHES, MEMBERS, 1.0)
        there = next(m for m in MEMBERS if m.endpoint_id == first.endpoint_id)
        choice.record_end(
            choice.record_sent(self.FETCHES, there, first.uncached_tokens, 1.0)
        )
        again = choice.select_engine(self.FETCHES, MEMBERS, 2.0)
        assert (again.endpoint_id, again.source) == (first.endpoint_id, "")

    def test_a_few_tokens_are_not_worth_a_fetch(self):
        short = (PromptPart("head", 200), PromptPart("own", 50))
        ask = SelectionRequest(short, 250, "z", fetches=True)
        choice = EndpointSelector(8.0)
        home = home_of(short, MEMBERS)
        choice.update_reported_loads(
            {home: ReportedLoad(running=3, pending_prefill_tokens=400_000.0, at=1.0)}
        )
        assert choice.select_engine(ask, MEMBERS, 2.0).source == ""


class TestLeaving:
    def test_is_chosen_only_where_it_is_better(self):
        leaving = member("going")._replace(leaving=True)
        choice = EndpointSelector(8.0)
        ask = SelectionRequest((), 500, "z")
        assert choice.select_engine(ask, [leaving, MEMBERS[0]], 1.0).endpoint_id == "i0"
        choice.update_reported_loads(
            {"i0": ReportedLoad(running=3, pending_prefill_tokens=100_000.0, at=1.0)}
        )
        assert (
            choice.select_engine(ask, [leaving, MEMBERS[0]], 1.0).endpoint_id == "going"
        )


class TestWhatOthersHave:
    def test_was_read_when_their_word_is_old(self):
        choice = EndpointSelector(8.0)
        home = home_of(PARTS, MEMBERS)
        choice.update_reported_loads(
            {home: ReportedLoad(running=3, pending_prefill_tokens=100_000.0, at=1.0)}
        )
        assert choice.select_engine(ASK, MEMBERS, 1.0).endpoint_id != home
        # 100,000 tokens take 2 s at the rate assumed first.
        assert choice.select_engine(ASK, MEMBERS, 3.0).endpoint_id == home


class TestConnected:
    def test_an_open_connection_decides_between_equals(self):
        ask = SelectionRequest((), 500, "z", connected=frozenset({"i2"}))
        assert (
            EndpointSelector(8.0).select_engine(ask, MEMBERS, 1.0).endpoint_id == "i2"
        )

    def test_but_not_against_work_that_waits(self):
        choice = EndpointSelector(8.0)
        choice.update_reported_loads(
            {"i2": ReportedLoad(running=1, pending_prefill_tokens=10_000.0, at=1.0)}
        )
        ask = SelectionRequest((), 500, "z", connected=frozenset({"i2"}))
        assert choice.select_engine(ask, MEMBERS, 1.0).endpoint_id != "i2"


class TestDuration:
    def test_follows_the_pace_of_streams_that_ended(self):
        choice = EndpointSelector(8.0)
        for _ in range(200):
            choice.speed.record_stream(100, 1.0)
        assert 1.0 < choice.speed.answer_seconds(100) < 1.2

    def test_an_empty_stream_teaches_nothing(self):
        choice = EndpointSelector(8.0)
        before = choice.speed.answer_seconds(100)
        choice.speed.record_stream(0, 1.0)
        choice.speed.record_stream(100, 0.0)
        assert choice.speed.answer_seconds(100) == before


class TestPlain:
    def test_own_zone_first_then_room(self):
        choice = EndpointSelector(8.0)
        near, far = member("near", "z", 2), member("far", "y", 2)
        ask = SelectionRequest((), 0, "z")
        assert choice.select_plain("z", [far, near]) == near
        choice.record_sent(ask, near, 0.0, 1.0)
        choice.record_sent(ask, near, 0.0, 1.0)
        assert choice.select_plain("z", [far, near]) == far

    def test_ended_requests_give_room_back(self):
        choice = EndpointSelector(8.0)
        near, far = member("near", "z", 1), member("far", "y", 1)
        sent = choice.record_sent(SelectionRequest((), 0, "z"), near, 0.0, 1.0)
        choice.record_end(sent)
        assert choice.select_plain("z", [far, near]) == near


class TestLearning:
    def play(self, rate, base):
        choice = EndpointSelector(8.0)
        now = 0.0
        for tokens in [200, 8000, 6000, 300, 9000] * 40:
            ask = SelectionRequest((), tokens, "z")
            sent = choice.record_sent(ask, MEMBERS[0], float(tokens), now)
            now += base + tokens / rate
            choice.record_end(choice.record_first_event(sent, now))
        return choice

    def test_rate_and_fixed_time_come_from_answers(self):
        choice = self.play(rate=90_000.0, base=0.1)
        assert 80_000 < choice.speed.prefill_rate < 100_000
        assert 0.09 < choice.speed.base_latency_s < 0.11

    def test_work_is_seconds_of_an_endpoint(self):
        choice = self.play(rate=90_000.0, base=0.1)
        assert set(choice.work_rates(0.0)) == {"s"}
