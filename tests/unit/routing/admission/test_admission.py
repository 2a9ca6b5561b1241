from random import Random

import pytest

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.routing.admission.admission import (
    Admission,
    AdmissionRequest,
    Admit,
    Refuse,
    Wait,
)
from ebonydeal._internal.settings.routing import AdmissionSettings
from tests.unit.routing.helpers import NOW, make_account


def make_admission(capacity: int = 1, accounts=(), **changes) -> Admission:
    cfg = AdmissionSettings(**changes)
    admission = Admission.from_config(cfg, "gw-1", Random(1))
    admission.configure({account.name: account for account in accounts})
    admission.set_capacity("pool", capacity, NOW)
    return admission


def make_request(name: str, account="desk", priority=Priority.STANDARD, **changes):
    return AdmissionRequest(name, account, "pool", priority, 100.0, **changes)


class TestOffer:
    def test_starts_at_once_while_there_is_capacity(self):
        assert make_admission().offer(make_request("a"), NOW) == Admit("a")

    def test_waits_when_full_and_starts_after_a_release(self):
        admission = make_admission()
        admission.offer(make_request("a"), NOW)
        assert admission.offer(make_request("b"), NOW) == Wait("b", 2.0)
        assert admission.next_ready(NOW) == []
        admission.release("a", 100.0, NOW + 1)
        assert admission.next_ready(NOW + 1) == [Admit("b")]

    def test_refused_at_once_when_it_cannot_start_in_time(self):
        admission = make_admission()
        admission.offer(make_request("a"), NOW)
        answer = admission.offer(make_request("b", deadline=NOW + 1.0), NOW)
        assert isinstance(answer, Refuse)
        assert answer.kind is ErrorKind.QUEUE_FULL
        assert 1.0 <= answer.retry_after <= 1.3
        assert admission.waiting("pool") == 0

    def test_same_request_offered_twice_is_an_error(self):
        admission = make_admission()
        admission.offer(make_request("a"), NOW)
        with pytest.raises(ValueError, match="already offered"):
            admission.offer(make_request("a"), NOW)


class TestWaiting:
    def test_request_past_its_latest_start_is_refused_in_the_same_call(self):
        admission = make_admission()
        admission.offer(make_request("a"), NOW)
        admission.offer(make_request("b", deadline=NOW + 5.0, min_run_s=1.0), NOW)
        assert admission.wake_at() == NOW + 4.0
        (answer,) = admission.next_ready(NOW + 4.0)
        assert isinstance(answer, Refuse)
        assert (answer.request_id, answer.kind) == ("b", ErrorKind.QUEUE_FULL)

    def test_reduced_capacity_refuses_requests_that_cannot_start_in_time(self):
        admission = make_admission(capacity=4)
        for number in range(8):
            admission.offer(make_request(f"r{number}", deadline=NOW + 5.0), NOW)
        admission.set_capacity("pool", 1, NOW)
        refused = [item.request_id for item in admission.next_ready(NOW)]
        assert refused == ["r6", "r7"]

    def test_cancelled_request_frees_its_place(self):
        admission = make_admission()
        admission.offer(make_request("a"), NOW)
        admission.offer(make_request("b"), NOW)
        admission.cancel("b", NOW)
        admission.release("a", 0.0, NOW)
        assert admission.next_ready(NOW) == []
        assert admission.limits.in_flight("desk") == 0


class TestShedding:
    def test_lowest_class_is_shed_first(self):
        admission = make_admission(queue=1)
        admission.offer(make_request("a"), NOW)
        admission.offer(make_request("low", priority=Priority.BATCH), NOW)
        answer = admission.offer(
            make_request("high", priority=Priority.INTERACTIVE), NOW
        )
        assert isinstance(answer, Wait)
        (shed,) = admission.next_ready(NOW)
        assert isinstance(shed, Refuse)
        assert (shed.request_id, shed.kind) == ("low", ErrorKind.SHED)

    def test_one_account_cannot_fill_the_queue(self):
        admission = make_admission(queue=4)
        for number in range(5):
            admission.offer(make_request(f"big{number}", "big"), NOW)
        assert isinstance(admission.offer(make_request("s", "small"), NOW), Wait)
        (shed,) = admission.next_ready(NOW)
        assert shed.request_id == "big4"
        assert isinstance(admission.offer(make_request("big5", "big"), NOW), Refuse)

    def test_accounts_take_turns(self):
        admission = make_admission()
        admission.offer(make_request("run"), NOW)
        for number in range(3):
            admission.offer(make_request(f"big{number}", "big"), NOW)
        admission.offer(make_request("small0", "small"), NOW)
        order, last = [], "run"
        for _ in range(4):
            admission.release(last, 0.0, NOW)
            last = admission.next_ready(NOW)[0].request_id
            order.append(last)
        assert order == ["big0", "small0", "big1", "big2"]


class TestLimits:
    def test_rate_limit_of_an_account_is_enforced(self):
        admission = make_admission(
            9, [make_account(requests_per_s=2.0)], floor_share=0.0
        )
        answers = [admission.offer(make_request(f"r{i}"), NOW) for i in range(3)]
        assert [type(answer) for answer in answers] == [Admit, Admit, Refuse]
        assert answers[2].kind is ErrorKind.RATE_LIMITED
        assert 0.5 <= answers[2].retry_after <= 0.65

    def test_refused_request_releases_its_reservation(self):
        admission = make_admission(0, [make_account(requests_per_s=1.0)], queue=0)
        assert admission.offer(make_request("a"), NOW).kind is ErrorKind.QUEUE_FULL
        assert admission.offer(make_request("b"), NOW).kind is ErrorKind.QUEUE_FULL
