from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ebonydeal._internal.errors import ERROR_RESPONSES, Outcome
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.routing.admission.admission import (
    Admission,
    AdmissionRequest,
    Admit,
    Refuse,
    Wait,
)
from ebonydeal._internal.routing.admission.queues import FairQueue
from ebonydeal._internal.settings.routing import AdmissionSettings
from tests.unit.routing.helpers import NOW, make_account

QUEUE = 6
ACCOUNTS = ("large", "small")
CONCURRENCY_LIMIT = 8


class AdmissionMachine(RuleBasedStateMachine):
    """Every offered request gets one answer in time, and bounds always hold."""

    def __init__(self) -> None:
        super().__init__()
        cfg = AdmissionSettings(queue=QUEUE)
        self.admission = Admission.from_config(cfg, "gw-1", Random(1))
        self.admission.configure(
            {"small": make_account("small", concurrency=CONCURRENCY_LIMIT)}
        )
        self.now = NOW
        self.capacity = 2
        self.admission.set_capacity("pool", self.capacity, self.now)
        self.waiting: dict[str, AdmissionRequest] = {}
        self.running: dict[str, AdmissionRequest] = {}
        self.count = 0

    def apply_ready(self) -> None:
        for answer in self.admission.next_ready(self.now):
            request = self.waiting.pop(answer.request_id)
            self.take(answer, request)

    def take(self, answer: Admit | Wait | Refuse, request: AdmissionRequest) -> None:
        match answer:
            case Admit():
                if request.deadline:
                    assert self.now < request.deadline
                self.running[request.request_id] = request
            case Wait(expected_s=expected):
                if request.deadline:
                    assert self.now + expected <= request.deadline
                self.waiting[request.request_id] = request
            case Refuse(kind=kind, retry_after=retry_after):
                assert 0.5 <= retry_after <= 156.0
                assert ERROR_RESPONSES[kind].outcome is Outcome.NOT_RUN

    @rule(
        account=st.sampled_from(ACCOUNTS),
        priority=st.sampled_from(Priority),
        budget=st.sampled_from([0.0, 1.0, 5.0, 60.0]),
    )
    def offer(self, account: str, priority: Priority, budget: float) -> None:
        self.count += 1
        deadline = self.now + budget if budget else 0.0
        name = f"r{self.count}"
        request = AdmissionRequest(name, account, "pool", priority, 10.0, deadline)
        self.take(self.admission.offer(request, self.now), request)
        self.apply_ready()

    @precondition(lambda self: self.running)
    @rule(data=st.data(), cancel=st.booleans())
    def request_ends(self, data: st.DataObject, cancel: bool) -> None:
        name = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[name]
        if cancel:
            self.admission.cancel(name, self.now)
        else:
            self.admission.release(name, 5.0, self.now)
        self.apply_ready()

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def caller_leaves(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.waiting)))
        del self.waiting[name]
        self.admission.cancel(name, self.now)
        self.apply_ready()

    @rule(capacity=st.integers(0, 4))
    def capacity_changes(self, capacity: int) -> None:
        self.capacity = capacity
        self.admission.set_capacity("pool", capacity, self.now)
        self.apply_ready()

    @rule(seconds=st.floats(0.0, 20.0))
    def time_passes(self, seconds: float) -> None:
        end = self.now + seconds
        wake = self.admission.wake_at()
        while wake is not None and wake <= end:
            self.now = max(self.now, wake)
            self.apply_ready()
            wake = self.admission.wake_at()
        self.now = end

    @invariant()
    def counts_agree(self) -> None:
        assert self.admission.waiting("pool") == len(self.waiting) <= QUEUE
        assert self.admission.running("pool") == len(self.running)
        for account in ACCOUNTS:
            requests = [*self.waiting.values(), *self.running.values()]
            held = sum(request.account == account for request in requests)
            assert self.admission.limits.in_flight(account) == held
        assert self.admission.limits.in_flight("small") <= CONCURRENCY_LIMIT

    @invariant()
    def no_request_waits_while_a_slot_is_free(self) -> None:
        if self.waiting:
            assert len(self.running) >= self.capacity

    @invariant()
    def no_request_waits_past_its_deadline(self) -> None:
        for request in self.waiting.values():
            assert not request.deadline or self.now <= request.deadline


AdmissionMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestAdmissionMachine = AdmissionMachine.TestCase


class TestFairness:
    def test_account_is_not_starved_by_the_backlog_of_another(self):
        queue = FairQueue()
        for number in range(200):
            queue.push(f"big{number}", "big", Priority.STANDARD, 100.0, 0.0)
        for number in range(5):
            queue.push(f"small{number}", "small", Priority.STANDARD, 100.0, 0.0)
        first = [queue.pop().account for _ in range(10)]
        assert first.count("small") == 5

    def test_shares_follow_tokens_not_requests(self):
        queue = FairQueue()
        for number in range(100):
            queue.push(f"long{number}", "long", Priority.STANDARD, 300.0, 0.0)
            queue.push(f"short{number}", "short", Priority.STANDARD, 100.0, 0.0)
        first = [queue.pop().account for _ in range(40)]
        assert first.count("long") == 10

    def test_lowest_class_is_not_starved(self):
        queue = FairQueue()
        queue.push("batch", "b", Priority.BATCH, 1.0, 0.0)
        for number in range(40):
            queue.push(f"i{number}", "a", Priority.INTERACTIVE, 1.0, 0.0)
        started = [queue.pop().request_id for _ in range(16)]
        assert started[-1] == "batch"
