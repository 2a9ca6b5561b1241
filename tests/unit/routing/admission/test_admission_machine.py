from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ebonydeal._internal.errors import ANSWERS, Outcome
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
LIMITED = 8


class AdmissionMachine(RuleBasedStateMachine):
    """Every offered request gets one answer, in time; bounds always hold."""

    def __init__(self) -> None:
        super().__init__()
        cfg = AdmissionSettings(queue=QUEUE)
        self.admission = Admission.from_config(cfg, "gw-1", Random(1))
        self.admission.configure({"small": make_account("small", concurrency=LIMITED)})
        self.now = NOW
        self.capacity = 2
        self.admission.set_capacity("pool", self.capacity, self.now)
        self.waiting: dict[str, AdmissionRequest] = {}
        self.running: dict[str, AdmissionRequest] = {}
        self.count = 0

    def settle_ready(self) -> None:
        for answer in self.admission.next_ready(self.now):
            ask = self.waiting.pop(answer.request_id)
            self.take(answer, ask)

    def take(self, answer: Admit | Wait | Refuse, ask: AdmissionRequest) -> None:
        match answer:
            case Admit():
                if ask.deadline:
                    assert self.now < ask.deadline
                self.running[ask.request_id] = ask
            case Wait(expected_s=expected):
                if ask.deadline:
                    assert self.now + expected <= ask.deadline
                self.waiting[ask.request_id] = ask
            case Refuse(kind=kind, retry_after=retry_after):
                assert 0.5 <= retry_after <= 156.0
                assert ANSWERS[kind].outcome is Outcome.NOT_RUN

    @rule(
        account=st.sampled_from(ACCOUNTS),
        priority=st.sampled_from(Priority),
        budget=st.sampled_from([0.0, 1.0, 5.0, 60.0]),
    )
    def offer(self, account: str, priority: Priority, budget: float) -> None:
        self.count += 1
        deadline = self.now + budget if budget else 0.0
        name = f"r{self.count}"
        ask = AdmissionRequest(name, account, "pool", priority, 10.0, deadline)
        self.take(self.admission.offer(ask, self.now), ask)
        self.settle_ready()

    @precondition(lambda self: self.running)
    @rule(data=st.data(), cancel=st.booleans())
    def ends(self, data: st.DataObject, cancel: bool) -> None:
        name = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[name]
        if cancel:
            self.admission.cancel(name, self.now)
        else:
            self.admission.release(name, 5.0, self.now)
        self.settle_ready()

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def caller_leaves(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.waiting)))
        del self.waiting[name]
        self.admission.cancel(name, self.now)
        self.settle_ready()

    @rule(capacity=st.integers(0, 4))
    def capacity_changes(self, capacity: int) -> None:
        self.capacity = capacity
        self.admission.set_capacity("pool", capacity, self.now)
        self.settle_ready()

    @rule(seconds=st.floats(0.0, 20.0))
    def time_passes(self, seconds: float) -> None:
        end = self.now + seconds
        wake = self.admission.wake_at()
        while wake is not None and wake <= end:
            self.now = max(self.now, wake)
            self.settle_ready()
            wake = self.admission.wake_at()
        self.now = end

    @invariant()
    def books_agree(self) -> None:
        assert self.admission.waiting("pool") == len(self.waiting) <= QUEUE
        assert self.admission.running("pool") == len(self.running)
        for account in ACCOUNTS:
            asks = [*self.waiting.values(), *self.running.values()]
            held = sum(ask.account == account for ask in asks)
            assert self.admission.limits.in_flight(account) == held
        assert self.admission.limits.in_flight("small") <= LIMITED

    @invariant()
    def nobody_waits_beside_a_free_slot(self) -> None:
        if self.waiting:
            assert len(self.running) >= self.capacity

    @invariant()
    def nobody_waits_past_its_time(self) -> None:
        for ask in self.waiting.values():
            assert not ask.deadline or self.now <= ask.deadline


AdmissionMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestAdmissionMachine = AdmissionMachine.TestCase


class TestFairness:
    def test_no_account_starves_whatever_another_piles_up(self):
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
