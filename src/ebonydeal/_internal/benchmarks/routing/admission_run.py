"""Admission alone under overload: what starts, waits and is refused."""

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

_START = 1_000_000.0
_SLOTS = 32
_RUN_S = 1.0
_TOKENS = 100.0
_SECONDS = 120.0
_DEADLINES = {
    Priority.INTERACTIVE: 2.0,
    Priority.STANDARD: 10.0,
    Priority.BATCH: 60.0,
}
_CLASS_SHARES = (0.3, 0.4, 0.3)
_ACCOUNTS = ("large", "small")
_ACCOUNT_SHARES = (0.9, 0.1)


class ClassOutcome(NamedTuple):
    """Requests of one class.

    ``in_time`` started within their deadline; ``late`` started after it;
    ``refused`` by kind.
    """

    offered: int
    in_time: int
    late: int
    refused: dict[str, int]


def run_admission(load: float, seed: int) -> dict[Priority, ClassOutcome]:
    """Offer ``load`` times what the slots can serve, for two minutes."""
    admission = Admission.from_config(AdmissionSettings(), "gw-1", Random(seed))
    admission.set_capacity("pool", _SLOTS, _START)
    return _play(_make_offers(load, seed), admission, Random(seed))


def run_queue(load: float, seed: int) -> dict[Priority, ClassOutcome]:
    """Do the same with the baseline: first come, first served, no bound."""
    free = [0.0] * _SLOTS
    rng = Random(seed)
    counts: Counter[tuple[Priority, str]] = Counter()
    for at, ask in _make_offers(load, seed):
        start = max(at - _START, heappop(free))
        heappush(free, start + rng.expovariate(1.0 / _RUN_S))
        counts[ask.priority, "offered"] += 1
        late = _START + start > ask.deadline
        counts[ask.priority, "late" if late else "in_time"] += 1
    return _outcomes(counts)


def _make_offers(load: float, seed: int) -> list[tuple[float, AdmissionRequest]]:
    rng = Random(f"admission-{seed}")
    offers: list[tuple[float, AdmissionRequest]] = []
    at = _START
    while at < _START + _SECONDS:
        at += rng.expovariate(load * _SLOTS / _RUN_S)
        priority = rng.choices(list(Priority), _CLASS_SHARES)[0]
        account = rng.choices(_ACCOUNTS, _ACCOUNT_SHARES)[0]
        deadline = at + _DEADLINES[priority]
        name = f"r{len(offers)}"
        ask = AdmissionRequest(name, account, "pool", priority, _TOKENS, deadline)
        offers.append((at, ask))
    return offers


def _play(
    offers: list[tuple[float, AdmissionRequest]], admission: Admission, rng: Random
) -> dict[Priority, ClassOutcome]:
    """Drive admission with offers and ends of runs."""
    asks = {ask.request_id: ask for _, ask in offers}
    counts: Counter[tuple[Priority, str]] = Counter()
    heap: list[tuple[float, int, str, str]] = [
        (at, number, "offer", ask.request_id) for number, (at, ask) in enumerate(offers)
    ]
    order = len(heap)
    while heap:
        now, _, what, name = heappop(heap)
        answers: list[Admit | Wait | Refuse] = []
        if what == "offer":
            counts[asks[name].priority, "offered"] += 1
            answers.append(admission.offer(asks[name], now))
        elif what == "end":
            admission.release(name, _TOKENS, now)
        answers += admission.next_ready(now)
        for answer in answers:
            ask = asks[answer.request_id]
            match answer:
                case Admit():
                    late = now > ask.deadline
                    counts[ask.priority, "late" if late else "in_time"] += 1
                    order += 1
                    end = now + rng.expovariate(1.0 / _RUN_S)
                    heappush(heap, (end, order, "end", ask.request_id))
                case Refuse(kind=kind):
                    counts[ask.priority, str(kind)] += 1
                case Wait():
                    order += 1
                    heappush(heap, (ask.deadline, order, "wake", ask.request_id))
    return _outcomes(counts)


def _outcomes(counts: Counter[tuple[Priority, str]]) -> dict[Priority, ClassOutcome]:
    known = ("offered", "in_time", "late")
    outcomes = {}
    for priority in Priority:
        refused = {
            what: count
            for (item, what), count in counts.items()
            if item is priority and what not in known
        }
        outcomes[priority] = ClassOutcome(
            offered=counts[priority, "offered"],
            in_time=counts[priority, "in_time"],
            late=counts[priority, "late"],
            refused=refused,
        )
    return outcomes
