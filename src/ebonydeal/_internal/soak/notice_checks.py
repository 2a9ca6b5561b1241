"""Promises on what endpoints say of themselves in their answers.

They are counted at the endpoints. A relay that was killed, stopped, suspended or cut
off since it was told is excused.
"""

from collections import defaultdict
from collections.abc import Iterable

from ebonydeal._internal.soak.records import Arrived, Log, Told
from ebonydeal._internal.soak.terms import Terms, Violation, harmed

# The users' bounds. Some 4 s hold one and a half times what a limit allows and 5
# requests, from 3 s after it was named, of relays that were told half a second before.
_WINDOW_S = 4.0
_FROM_S = 3.0
_BEARS, _BEARS_REQUESTS = 1.5, 5.0
_KNOWN_AFTER_S = 0.5
# So many requests of one relay may come in a rest.
_IN_REST = 2
# Machines are busy while a soak runs: a request takes so much longer, seconds.
_SLACK_S = 1.0


def _by_endpoint(log: Log) -> dict[str, tuple[list[Told], list[Arrived]]]:
    """Return what each endpoint said, and what reached it, in order."""
    found: dict[str, tuple[list[Told], list[Arrived]]] = defaultdict(lambda: ([], []))
    for told in sorted(log.told, key=lambda it: it.at):
        found[told.endpoint][0].append(told)
    for arrived in sorted(log.arrived, key=lambda it: it.at):
        found[arrived.endpoint][1].append(arrived)
    return found


def _namings(told: list[Told]) -> list[tuple[float, float, float]]:
    """Return each time in which one limit was named: begin, end and the limit."""
    namings: list[tuple[float, float, float]] = []
    for one, after in zip(told, [*told[1:], None], strict=True):
        if one.limit is None:
            continue
        end = one.at if after is None or after.limit != one.limit else after.at
        if namings and namings[-1][1:] == (one.at, one.limit):
            namings[-1] = (namings[-1][0], end, one.limit)
        else:
            namings.append((one.at, end, one.limit))
    return namings


def limits_held(log: Log, _terms: Terms) -> Iterable[Violation]:
    """An endpoint that names a limit gets no more from the relays that it told."""
    for endpoint, (told, arrived) in _by_endpoint(log).items():
        for begin, end, limit in _namings(told):
            first: dict[str, float] = {}
            for one in told:
                if begin <= one.at <= end:
                    first.setdefault(one.relay, one.at)
            bound = [
                it.at
                for it in arrived
                if begin <= it.at <= end
                and it.at >= first.get(it.relay, it.at) + _KNOWN_AFTER_S
                and not harmed(log, it.relay, first[it.relay], it.at)
            ]
            most = _BEARS * limit * _WINDOW_S + _BEARS_REQUESTS
            for last in bound:
                came = sum(last - _WINDOW_S < at <= last for at in bound)
                if last >= begin + _FROM_S and came > most:
                    detail = (
                        f"{endpoint} named {limit:g} a second and got {came} in 4 s"
                    )
                    yield Violation("endpoint limit", detail)
                    break


def rests_kept(log: Log, _terms: Terms) -> Iterable[Violation]:
    """An endpoint that asked a relay for rest gets little from it meanwhile."""
    for endpoint, (told, arrived) in _by_endpoint(log).items():
        for one in told:
            end = one.at + one.rest
            came = sum(
                it.relay == one.relay and one.at + _KNOWN_AFTER_S <= it.at < end
                for it in arrived
            )
            if came > _IN_REST and not harmed(log, one.relay, one.at, end):
                detail = (
                    f"{endpoint} got {came} of {one.relay} in {one.rest:g} s of rest"
                )
                yield Violation("rest", detail)


def nothing_after_leaving(log: Log, terms: Terms) -> Iterable[Violation]:
    """An endpoint that said in an answer that it leaves gets nothing new later on."""
    sent = {seen.request_id: seen.sent for seen in log.seen}
    for endpoint, (told, arrived) in _by_endpoint(log).items():
        first: dict[str, float] = {}
        for one in told:
            if one.leaving:
                first.setdefault(one.relay, one.at)
        for it in arrived:
            last = first.get(it.relay, it.at) + terms.drain + _SLACK_S
            late = sent.get(it.request_id, it.at) > last
            if late and not harmed(log, it.relay, first[it.relay], it.at):
                detail = f"{endpoint} got {it.request_id} of {it.relay} after its word"
                yield Violation("leaving said", detail)
