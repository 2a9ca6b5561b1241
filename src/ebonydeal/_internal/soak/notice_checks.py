"""Checks of the guarantees on what endpoints announce in their responses.

Requests are counted at the endpoints. A relay that was killed, stopped, suspended or
disconnected since the announcement is excused.
"""

from collections import defaultdict
from collections.abc import Iterable

from ebonydeal._internal.soak.guarantees import Guarantees, Violation, had_fault
from ebonydeal._internal.soak.records import Announcement, Arrival, Log

# The users' bounds: any 4 s hold at most 1.5 times what a limit allows plus 5 requests.
# Windows that end 3 s or more after the first announcement count, with the requests of
# relays that got the announcement at least 0.5 s before.
_WINDOW_S = 4.0
_CHECK_DELAY_S = 3.0
_LIMIT_FACTOR, _LIMIT_ALLOWANCE = 1.5, 5.0
_MAX_APPLY_DELAY_S = 0.5
# Requests that one relay may send during a backoff.
_MAX_IN_BACKOFF = 2
# Machines are busy while a soak runs, so a request may arrive this much later.
_DELAY_TOLERANCE_S = 1.0


def _by_endpoint(log: Log) -> dict[str, tuple[list[Announcement], list[Arrival]]]:
    """Return announcements and arrivals of each endpoint, ordered by time."""
    found: dict[str, tuple[list[Announcement], list[Arrival]]] = defaultdict(
        lambda: ([], [])
    )
    for announcement in sorted(log.announcements, key=lambda it: it.at):
        found[announcement.endpoint][0].append(announcement)
    for arrival in sorted(log.arrivals, key=lambda it: it.at):
        found[arrival.endpoint][1].append(arrival)
    return found


def _limit_periods(
    announcements: list[Announcement],
) -> list[tuple[float, float, float]]:
    """Return the periods of constant announced limits: begin, end and limit."""
    periods: list[tuple[float, float, float]] = []
    for one, after in zip(announcements, [*announcements[1:], None], strict=True):
        if one.limit is None:
            continue
        end = one.at if after is None or after.limit != one.limit else after.at
        if periods and periods[-1][1:] == (one.at, one.limit):
            periods[-1] = (periods[-1][0], end, one.limit)
        else:
            periods.append((one.at, end, one.limit))
    return periods


def endpoint_limits_respected(log: Log, _guarantees: Guarantees) -> Iterable[Violation]:
    """An endpoint's announced limit is respected by the relays that received it."""
    for endpoint, (announcements, arrivals) in _by_endpoint(log).items():
        for begin, end, limit in _limit_periods(announcements):
            first_announced: dict[str, float] = {}
            for one in announcements:
                if begin <= one.at <= end:
                    first_announced.setdefault(one.relay, one.at)
            counted = [
                it.at
                for it in arrivals
                if begin <= it.at <= end
                and it.at >= first_announced.get(it.relay, it.at) + _MAX_APPLY_DELAY_S
                and not had_fault(log, it.relay, first_announced[it.relay], it.at)
            ]
            max_requests = _LIMIT_FACTOR * limit * _WINDOW_S + _LIMIT_ALLOWANCE
            for last in counted:
                received = sum(last - _WINDOW_S < at <= last for at in counted)
                if last >= begin + _CHECK_DELAY_S and received > max_requests:
                    detail = (
                        f"{endpoint} announced {limit:g} requests per second and got"
                        f" {received} in 4 s"
                    )
                    yield Violation("endpoint limit", detail)
                    break


def backoffs_respected(log: Log, _guarantees: Guarantees) -> Iterable[Violation]:
    """An endpoint that asked a relay for backoff gets few requests from it."""
    for endpoint, (announcements, arrivals) in _by_endpoint(log).items():
        for one in announcements:
            end = one.at + one.backoff_s
            received = sum(
                it.relay == one.relay and one.at + _MAX_APPLY_DELAY_S <= it.at < end
                for it in arrivals
            )
            if received > _MAX_IN_BACKOFF and not had_fault(
                log, one.relay, one.at, end
            ):
                detail = (
                    f"{endpoint} got {received} requests from {one.relay} in"
                    f" {one.backoff_s:g} s of backoff"
                )
                yield Violation("rest", detail)


def no_requests_after_announced_leaving(
    log: Log, guarantees: Guarantees
) -> Iterable[Violation]:
    """An endpoint that announced leaving gets no new requests after the drain time."""
    sent = {result.request_id: result.sent for result in log.results}
    for endpoint, (announcements, arrivals) in _by_endpoint(log).items():
        first_announced: dict[str, float] = {}
        for one in announcements:
            if one.leaving:
                first_announced.setdefault(one.relay, one.at)
        for it in arrivals:
            last = (
                first_announced.get(it.relay, it.at)
                + guarantees.drain_s
                + _DELAY_TOLERANCE_S
            )
            late = sent.get(it.request_id, it.at) > last
            if late and not had_fault(log, it.relay, first_announced[it.relay], it.at):
                detail = (
                    f"{endpoint} got {it.request_id} from {it.relay} after it announced"
                    " leaving"
                )
                yield Violation("leaving said", detail)
