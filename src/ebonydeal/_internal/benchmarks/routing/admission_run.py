"""Simulation of admission under overload: started, waiting and refused requests."""

from collections import Counter
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.routing.admission.admission import (
    Admission,
    AdmissionRequest,
    Admit,
    Refuse,
    Wait,
)
from ebonydeal._internal.settings.routing import AdmissionSettings

_START_S = 1_000_000.0
_SLOTS = 32
_RUN_S = 1.0
_REQUEST_TOKENS = 100.0
_DURATION_S = 120.0
_DEADLINES_S = {
    Priority.INTERACTIVE: 2.0,
    Priority.STANDARD: 10.0,
    Priority.BATCH: 60.0,
}
_CLASS_SHARES = (0.3, 0.4, 0.3)
_ACCOUNTS = ("large", "small")
_ACCOUNT_SHARES = (0.9, 0.1)


class ClassOutcome(NamedTuple):
    """Outcome of one priority class's requests.

    ``in_time`` started within their deadline; ``late`` started after it;
    ``refused`` counts refusals by kind.
    """

    offered: int
    in_time: int
    late: int
    refused: dict[str, int]


def run_admission(load: float, seed: int) -> dict[Priority, ClassOutcome]:
    """Simulate admission for two minutes at ``load`` times the slots' capacity."""
    admission = Admission.from_config(AdmissionSettings(), "gw-1", Random(seed))
    admission.set_capacity("pool", _SLOTS, _START_S)
    return _simulate(_make_offers(load, seed), admission, Random(seed))


def run_queue(load: float, seed: int) -> dict[Priority, ClassOutcome]:
    """Simulate the baseline with the same requests: an unbounded FIFO queue."""
    free = [0.0] * _SLOTS
    rng = Random(seed)
    counts: Counter[tuple[Priority, str]] = Counter()
    for at, request in _make_offers(load, seed):
        start = max(at - _START_S, heappop(free))
        heappush(free, start + rng.expovariate(1.0 / _RUN_S))
        counts[request.priority, "offered"] += 1
        late = _START_S + start > request.deadline
        counts[request.priority, "late" if late else "in_time"] += 1
    return _summarize(counts)


def _make_offers(load: float, seed: int) -> list[tuple[float, AdmissionRequest]]:
    rng = Random(f"admission-{seed}")
    offers: list[tuple[float, AdmissionRequest]] = []
    at = _START_S
    while at < _START_S + _DURATION_S:
        at += rng.expovariate(load * _SLOTS / _RUN_S)
        priority = rng.choices(list(Priority), _CLASS_SHARES)[0]
        account = rng.choices(_ACCOUNTS, _ACCOUNT_SHARES)[0]
        deadline = at + _DEADLINES_S[priority]
        name = f"r{len(offers)}"
        request = AdmissionRequest(
            name, account, "pool", priority, _REQUEST_TOKENS, deadline
        )
        offers.append((at, request))
    return offers


def _simulate(
    offers: list[tuple[float, AdmissionRequest]], admission: Admission, rng: Random
) -> dict[Priority, ClassOutcome]:
    """Pass the offered requests and the ends of their runs to admission."""
    requests = {request.request_id: request for _, request in offers}
    counts: Counter[tuple[Priority, str]] = Counter()
    heap: list[tuple[float, int, str, str]] = [
        (at, number, "offer", request.request_id)
        for number, (at, request) in enumerate(offers)
    ]
    event_number = len(heap)
    while heap:
        now, _, what, name = heappop(heap)
        answers: list[Admit | Wait | Refuse] = []
        if what == "offer":
            counts[requests[name].priority, "offered"] += 1
            answers.append(admission.offer(requests[name], now))
        elif what == "end":
            admission.release(name, _REQUEST_TOKENS, now)
        answers += admission.next_ready(now)
        for answer in answers:
            request = requests[answer.request_id]
            match answer:
                case Admit():
                    late = now > request.deadline
                    counts[request.priority, "late" if late else "in_time"] += 1
                    event_number += 1
                    end = now + rng.expovariate(1.0 / _RUN_S)
                    heappush(heap, (end, event_number, "end", request.request_id))
                case Refuse(kind=kind):
                    counts[request.priority, str(kind)] += 1
                case Wait():
                    event_number += 1
                    heappush(
                        heap,
                        (request.deadline, event_number, "wake", request.request_id),
                    )
    return _summarize(counts)


def _summarize(counts: Counter[tuple[Priority, str]]) -> dict[Priority, ClassOutcome]:
    outcome_kinds = ("offered", "in_time", "late")
    outcomes = {}
    for priority in Priority:
        refused = {
            what: count
            for (item, what), count in counts.items()
            if item is priority and what not in outcome_kinds
        }
        outcomes[priority] = ClassOutcome(
            offered=counts[priority, "offered"],
            in_time=counts[priority, "in_time"],
            late=counts[priority, "late"],
            refused=refused,
        )
    return outcomes
