from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.routing.retries.retries import (
    Failure,
    GiveUp,
    Retry,
    RetryPolicy,
)
from ebonydeal._internal.settings.routing import RetrySettings
from tests.unit.routing.helpers import NOW


def make_policy(**changes) -> RetryPolicy:
    return RetryPolicy.from_config(RetrySettings(**changes), Random(1))


def make_failure(kind=ErrorKind.ENDPOINT_FAILED, **changes) -> Failure:
    return Failure(kind, "pool", **({"idempotent": True} | changes))


class TestNextAttempt:
    def test_first_failure_is_retried(self):
        policy = make_policy()
        policy.record_first_send("pool", NOW)
        match policy.next_attempt(make_failure(), 1, NOW):
            case Retry(delay_s=delay):
                assert 0.0 <= delay <= 0.1
            case other:
                pytest.fail(f"{other}")

    @pytest.mark.parametrize(
        "kind",
        [
            ErrorKind.ENDPOINT_FAILED,
            ErrorKind.ENDPOINT_GARBAGE,
            ErrorKind.ENDPOINT_STALLED,
        ],
    )
    def test_non_idempotent_that_may_have_run_has_unknown_outcome(self, kind):
        failure = make_failure(kind, idempotent=False)
        answer = make_policy().next_attempt(failure, 1, NOW)
        assert answer == GiveUp(ErrorKind.OUTCOME_UNKNOWN, None, "must not be retried")

    @pytest.mark.parametrize(
        "kind", [ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_REFUSED]
    )
    def test_non_idempotent_is_retried_if_it_provably_did_not_run(self, kind):
        answer = make_policy().next_attempt(
            make_failure(kind, idempotent=False), 1, NOW
        )
        assert isinstance(answer, Retry)

    @pytest.mark.parametrize("kind", list(ErrorKind))
    def test_non_idempotent_is_never_retried_after_the_first_byte(self, kind):
        failure = make_failure(kind, idempotent=False, first_byte_received=True)
        assert isinstance(make_policy().next_attempt(failure, 1, NOW), GiveUp)

    def test_deadline_is_checked_before_the_budget_is_used(self):
        policy = make_policy()
        failure = make_failure(deadline=NOW + 1.0, min_attempt_s=1.0)
        answer = policy.next_attempt(failure, 1, NOW)
        assert isinstance(answer, GiveUp)
        assert answer.reason == "deadline too close for a retry"
        assert policy.available_retries("pool") == 1.0

    def test_no_more_attempts_than_set(self):
        answer = make_policy(attempts=2).next_attempt(make_failure(), 2, NOW)
        assert isinstance(answer, GiveUp)
        assert answer.reason == "no attempts left"

    def test_exhausted_budget_gives_a_retry_after(self):
        policy = make_policy()
        policy.next_attempt(make_failure(), 1, NOW)
        answer = policy.next_attempt(make_failure(), 1, NOW)
        assert isinstance(answer, GiveUp)
        assert answer.kind is ErrorKind.ENDPOINT_FAILED
        assert 1.0 <= answer.retry_after <= 45.0

    def test_last_attempt_not_run_does_not_prove_that_no_earlier_one_ran(self):
        failure = make_failure(ErrorKind.CONNECT_FAILED, may_have_run=True)
        answer = make_policy(attempts=2).next_attempt(failure, 2, NOW)
        assert answer.kind is ErrorKind.RETRY_BUDGET

    def test_caller_errors_are_not_retried(self):
        answer = make_policy().next_attempt(make_failure(ErrorKind.BAD_REQUEST), 1, NOW)
        assert answer == GiveUp(ErrorKind.BAD_REQUEST, None, "must not be retried")


class TestBudget:
    @given(st.integers(0, 2**32), st.integers(1, 400), st.floats(0.0, 1.0))
    def test_sends_never_exceed_the_budget(self, seed, requests, hedged):
        rng = Random(seed)
        policy = RetryPolicy.from_config(RetrySettings(), rng)
        extra = 0
        for number in range(requests):
            now = NOW + number * 0.01
            policy.record_first_send("pool", now)
            if rng.random() < hedged:
                extra += policy.try_hedge("pool", True, 0.0, now)
            attempt = 1
            while isinstance(policy.next_attempt(make_failure(), attempt, now), Retry):
                extra += 1
                attempt += 1
        assert extra <= 1.0 + 0.09 * requests + 1e-6

    def test_budget_is_capped(self):
        policy = make_policy()
        for number in range(10_000):
            policy.record_first_send("pool", NOW + number)
        assert policy.available_retries("pool") == 5.0

    def test_deployments_do_not_share_budgets(self):
        policy = make_policy()
        policy.next_attempt(make_failure(), 1, NOW)
        assert policy.available_retries("pool") == 0.0
        assert policy.available_retries("other") == 1.0


class TestHedge:
    def test_only_idempotent_requests_before_the_deadline(self):
        policy = make_policy()
        for _ in range(100):
            policy.record_first_send("pool", NOW)
        assert not policy.try_hedge("pool", False, 0.0, NOW)
        assert not policy.try_hedge("pool", True, NOW, NOW)
        assert policy.try_hedge("pool", True, NOW + 1, NOW)

    def test_two_in_a_hundred_requests(self):
        policy = make_policy()
        hedges = 0
        for _ in range(1000):
            policy.record_first_send("pool", NOW)
            hedges += policy.try_hedge("pool", True, 0.0, NOW)
        assert hedges in (19, 20)
