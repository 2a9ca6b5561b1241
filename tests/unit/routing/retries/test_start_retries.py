"""Retries of relays that start, over all of them, stay within what is reserved."""

from collections import deque
from random import Random

import pytest

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.relay.derived_settings import retry_share, start_retry_limit
from ebonydeal._internal.routing.retries.retries import Failure, Retry, RetryPolicy
from ebonydeal._internal.routing.retries.start_retries import (
    RETRY_WINDOW_S,
    StartRetries,
)
from ebonydeal._internal.settings.relay import RelaySettings

CFG = RelaySettings()


class TestAllot:
    def test_each_process_gets_one_up_to_the_limit(self):
        found = StartRetries(2)
        assert [found.allot(name, None, 100.0) for name in "abc"] == [True, True, False]

    def test_a_request_whose_reply_was_lost_costs_no_second_one(self):
        found = StartRetries(2)
        assert found.allot("a", None, 100.0) and found.allot("a", None, 100.3)
        assert found.allot("b", None, 100.4)

    def test_there_are_more_in_the_next_window(self):
        found = StartRetries(1)
        assert found.allot("a", None, 100.0)
        assert not found.allot("b", None, 100.0 + RETRY_WINDOW_S)
        assert found.allot("b", None, 102.0 + RETRY_WINDOW_S)

    def test_a_new_holder_waits_until_earlier_ones_are_a_window_old(self):
        found = StartRetries(2)
        assert not found.allot("a", 100.0, 100.0 + RETRY_WINDOW_S)
        assert found.allot("a", 100.0, 102.0 + RETRY_WINDOW_S)


class Relay:
    """A relay whose requests all fail and may be repeated."""

    def __init__(self, relays, name):
        self.name = name
        self.policy = RetryPolicy(retry_share(CFG, relays), Random(1), 0.0)
        self.asks = True

    def serve(self, now):
        """Return how many retries one failing request gets."""
        self.policy.record_first_send("s", now)
        failure = Failure(ErrorKind.ENDPOINT_FAILED, "s", idempotent=True)
        attempt = 1
        while isinstance(self.policy.next_attempt(failure, attempt, now), Retry):
            attempt += 1
        return attempt - 1


class Model:
    """Relays that start again at random moments, and a lease that changes hands."""

    def __init__(self, relays, seed):
        self.rng = Random(seed)
        self.size = relays
        self.count = 0
        self.relays = [self.start() for _ in range(relays)]
        self.holder = None
        self.held_since = None
        self.is_first = True
        self.free_at = 0.0

    def start(self):
        self.count += 1
        return Relay(self.size, f"n{self.count}")

    def restart(self, index, now):
        if self.relays[index] is self.holder:
            self.holder, self.free_at = None, now + self.rng.uniform(0.1, 1.0)
        self.relays[index] = self.start()

    def step(self, now, storm):
        """Play 0.1 s; returns the numbers of requests and of retries.

        In a storm relays start all the time, and get one request each.
        """
        if storm:
            for _ in range(4):
                self.restart(self.rng.randrange(self.size), now)
        if self.holder is None and now >= self.free_at:
            self.holder = self.rng.choice(self.relays)
            self.retries = StartRetries(start_retry_limit(CFG))
            self.held_since = None if self.is_first else now
            self.is_first = False
        requests = retries = 0
        for relay in self.relays:
            fresh = relay.asks
            if fresh and self.holder is not None:
                relay.asks = False
                if self.retries.allot(relay.name, self.held_since, now):
                    relay.policy.add_initial_retries(1.0)
            if fresh or (not storm and self.rng.random() < 0.2):
                requests += 1
                retries += relay.serve(now)
        return requests, retries


class TestBound:
    @pytest.mark.parametrize("relays", [3, 9, 17, 40])
    @pytest.mark.parametrize("seed", range(4))
    def test_holds_in_each_window_however_relays_and_holders_start(self, relays, seed):
        model = Model(relays, seed)
        window = deque(maxlen=round(RETRY_WINDOW_S / 0.1))
        for step in range(900):
            storm = step // 300 % 2 == 1
            window.append(model.step(step * 0.1, storm))
            requests, retries = (sum(counts) for counts in zip(*window, strict=True))
            assert retries <= CFG.retry_ratio * requests + CFG.retry_extra

    def test_reserved_and_saved_retries_are_at_most_the_additional_ones(self):
        for relays in range(1, 41):
            saved = relays * retry_share(CFG, relays).budget_cap
            assert saved + start_retry_limit(CFG) <= CFG.retry_extra
