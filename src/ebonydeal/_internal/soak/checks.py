"""The promises, checked on what was seen from outside."""

from collections import defaultdict
from collections.abc import Iterable

from ebonydeal._internal.models.rollouts import Phase
from ebonydeal._internal.soak.notice_checks import (
    limits_held,
    nothing_after_leaving,
    rests_kept,
)
from ebonydeal._internal.soak.records import FatalRun, Kind, Log, Seen, event_count
from ebonydeal._internal.soak.terms import Check, Limit, Terms, Violation, harmed

# Statuses that promise that a request has not run and never will.
_NOT_RUN = frozenset({408, 421, 429, 503})
# Machines are busy while a soak runs: so much later is still in time, seconds.
_SLACK_S = 1.0
# What was harmed may have effects for so long after its end, seconds.
_AFTER_S = 4.0
# The coordinator takes its own counts twice a second, as those of others, and keeps
# them with each renewal of the lease, once a second: what it counted for so long
# before it is killed may be known to nobody else, seconds.
_UNTOLD_S = 2.0
# Endpoints that a request may crash before all relays refuse it, the time in which they
# must know, seconds, and how often it may still be passed on after that: the users'
# bounds.
_CRASHES = 3
_CONTACT_S = 3.0
_LATE_RUNS = 3
# What was sent before a kill may reach an endpoint so much later, seconds.
_IN_FLIGHT_S = 0.25
# Of the requests for a service a bad version may get this share and so many besides,
# the users' bounds; and the requests at it from which on its verdict must be right.
_EXPOSE_SHARE = 0.1
_EXPOSE_SLACK = 50
_BAD_ANSWERS = 50


def _calm(log: Log, relay: str, begin: float, end: float) -> bool:
    """Return whether nothing was harmed for a relay from ``begin`` to ``end``."""
    return not any(
        trouble.relay in ("", relay)
        and trouble.begin <= end
        and trouble.end + _AFTER_S >= begin
        for trouble in log.troubles
    )


def run_once(log: Log, _terms: Terms) -> Iterable[Violation]:
    """No request that may run once runs twice."""
    once = {seen.request_id for seen in log.seen if seen.kind.runs_once}
    count: dict[str, int] = defaultdict(int)
    for run in log.runs:
        if run.request_id in once and not run.carried:
            count[run.request_id] += 1
    for request_id, runs in count.items():
        if runs > 1:
            yield Violation("run once", f"{request_id} ran {runs} times")


def refusals_true(log: Log, _terms: Terms) -> Iterable[Violation]:
    """What was said not to have run didn't, and never does."""
    ran = {run.request_id for run in log.runs}
    for seen in log.seen:
        if seen.kind.runs_once and seen.status in _NOT_RUN and seen.request_id in ran:
            yield Violation("refusal", f"{seen.request_id}: {seen.status}, but it ran")


def answers_whole(log: Log, _terms: Terms) -> Iterable[Violation]:
    """A success is the whole answer to that very request."""
    for seen in log.seen:
        if seen.kind is Kind.PROBE or seen.status != 200 or not seen.whole:
            continue
        if not seen.kind.is_stream and seen.body_id != seen.request_id:
            detail = f"{seen.request_id} got the answer to {seen.body_id!r}"
            yield Violation("whole answer", detail)


def events_in_order(log: Log, _terms: Terms) -> Iterable[Violation]:
    """Events come once each, in order, and a whole stream has them all."""
    for seen in log.seen:
        if not seen.kind.is_stream or seen.status != 200:
            continue
        expected = tuple(range(1, len(seen.numbers) + 1))
        if seen.numbers != expected:
            yield Violation("event order", f"{seen.request_id}: {seen.numbers}")
        elif seen.whole and len(seen.numbers) != event_count(seen.request_id):
            detail = f"{seen.request_id} ends after {len(seen.numbers)} events"
            yield Violation("event order", detail)


def drained(log: Log, terms: Terms) -> Iterable[Violation]:
    """An endpoint that leaves gets nothing new after a while."""
    left = {leave.endpoint: leave.at for leave in log.leaves}
    for run in log.runs:
        at = left.get(run.endpoint)
        if at is None or run.at <= at + terms.drain + _SLACK_S:
            continue
        if _calm(log, run.relay, at, run.at):
            late = run.at - at
            detail = f"{run.endpoint} got {run.request_id} {late:.2f} s after its word"
            yield Violation("drain", detail)


def config_never_back(log: Log, terms: Terms) -> Iterable[Violation]:
    """No process answers by an older configuration after a newer one."""
    newest: dict[int, tuple[int, float]] = {}
    probes = [seen for seen in log.seen if seen.kind is Kind.PROBE]
    for seen in sorted(probes, key=lambda it: it.sent):
        if seen.status != 200:
            continue
        version, ended = newest.get(seen.pid, (0, 0.0))
        if seen.version < version and seen.sent > ended:
            detail = f"{seen.relay} served {seen.version} after {version}"
            yield Violation("configuration", detail)
        elif seen.version > version:
            newest[seen.pid] = (seen.version, seen.ended)
    yield from _stale(log, terms, probes)


def _stale(log: Log, terms: Terms, probes: list[Seen]) -> Iterable[Violation]:
    """Tell of probes that were answered by an older version too late."""
    at = {publish.version: publish.at for publish in log.published}
    for seen in probes:
        known = at.get(seen.version)
        if seen.status != 404 or known is None:
            continue
        newer = any(
            p.version > seen.version and p.at < seen.ended for p in log.published
        )
        late = seen.sent > known + terms.apply + _SLACK_S
        if not newer and late and _calm(log, seen.relay, known, seen.ended):
            detail = f"{seen.relay} didn't know version {seen.version}"
            yield Violation("configuration", detail)


def within_limits(log: Log, terms: Terms) -> Iterable[Violation]:
    """A client account gets no more than its limit in any window."""
    for limit in terms.limits:
        most = _fullest(log, limit, terms.quota_window)
        if most > limit.most:
            detail = f"{most:.0f} of {limit.account} in one window, {limit.most:.0f}"
            yield Violation("limit", detail)


def _fullest(log: Log, limit: Limit, window: float) -> float:
    """Return the most that first arrivals of an account count in any window."""
    first: dict[str, float] = {}
    for run in log.runs:
        if run.account == limit.account:
            first[run.request_id] = min(run.at, first.get(run.request_id, run.at))
    arrivals = sorted((at, request_id) for request_id, at in first.items())
    most = total = 0.0
    begin = 0
    sizes = [log.tokens[name] if limit.in_tokens else 1.0 for _at, name in arrivals]
    for end, (at, _name) in enumerate(arrivals):
        total += sizes[end]
        while arrivals[begin][0] < at - window:
            total -= sizes[begin]
            begin += 1
        most = max(most, total)
    return most


def usage_told_once(log: Log, _terms: Terms) -> Iterable[Violation]:
    """A window has one report, and a fencing number one holder."""
    told: dict[int, dict[str, int]] = {}
    holders: dict[int, str] = {}
    for report in log.reports:
        if told.setdefault(report.window, report.counts) != report.counts:
            yield Violation("usage", f"window {report.window} was told twice")
        if holders.setdefault(report.fence, report.holder) != report.holder:
            yield Violation("usage", f"fence {report.fence} has two holders")


def _untold(log: Log, begin: float, end: float) -> int:
    """Return how many requests of a window may have died with their relay."""
    kills = [trouble for trouble in log.troubles if trouble.kind == "kill"]
    return len(
        {
            run.request_id
            for run in log.runs
            if begin <= run.at < end
            and any(
                run.relay == kill.relay
                and -_UNTOLD_S <= run.at - kill.begin <= _IN_FLIGHT_S
                for kill in kills
            )
        }
    )


def usage_exact(log: Log, terms: Terms) -> Iterable[Violation]:
    """In calm windows the counts are those of the requests that began.

    Counts may lack what a killed relay had no time to tell.
    """
    begun: dict[int, set[tuple[str, str]]] = defaultdict(set)
    offset = log.runs[0].wall - log.runs[0].at if log.runs else 0.0
    for run in log.runs:
        begun[int(run.wall // terms.usage_window)].add((run.account, run.request_id))
    for report in log.reports:
        begin = report.window * terms.usage_window - offset
        if not log.runs or begin < log.runs[0].at:
            # What was asked before is not in the log.
            continue
        if not _calm(log, "", begin - 1.0, begin + terms.usage_window + 1.0):
            continue
        if any(not _calm(log, t.relay, begin, begin) for t in log.troubles):
            continue
        truth = len(begun[report.window])
        told = sum(report.counts.values())
        # Requests that begin at the edge may count on either side.
        edge = 3 + 0.1 * truth
        least = truth - edge - _untold(log, begin, begin + terms.usage_window)
        if not least <= told <= truth + edge:
            detail = f"window {report.window}: {told} told, {truth} began"
            yield Violation("usage", detail)


def stops_cut_nothing(log: Log, _terms: Terms) -> Iterable[Violation]:
    """A planned stop cuts off no request that was passed on."""
    passed = {run.request_id for run in log.runs}
    stops = [trouble for trouble in log.troubles if trouble.kind == "stop"]
    others = [trouble for trouble in log.troubles if trouble.kind != "stop"]
    for seen in log.seen:
        cut = seen.status == 0 or (seen.status == 200 and not seen.whole)
        if not cut or seen.request_id not in passed:
            continue
        for stop in stops:
            if seen.relay != stop.relay or not stop.begin <= seen.ended <= stop.end:
                continue
            alone = all(
                t.end + _AFTER_S < seen.sent or t.begin > seen.ended for t in others
            )
            if alone:
                yield Violation("planned stop", f"{seen.request_id} was cut off")


def crashes_bound(log: Log, _terms: Terms) -> Iterable[Violation]:
    """A request that crashes endpoints reaches few more after the third.

    Relays that weren't harmed pass it on three times at most once they had the time
    to know.
    """
    by_body: dict[str, list[FatalRun]] = defaultdict(list)
    for run in sorted(log.fatal, key=lambda it: it.at):
        by_body[run.body].append(run)
    for body, runs in by_body.items():
        ends = list({run.endpoint: run.at for run in reversed(runs)}.values())
        if len(ends) < _CRASHES:
            continue
        third = sorted(ends)[_CRASHES - 1]
        late = [
            run
            for run in runs
            if run.at > third + _CONTACT_S
            and not harmed(log, run.relay, run.at - _CONTACT_S, run.at)
        ]
        if len(late) > _LATE_RUNS:
            detail = f"{body} reached endpoints {len(late)} times after the third"
            yield Violation("crashes", detail)


def bad_versions_exposed_little(log: Log, _terms: Terms) -> Iterable[Violation]:
    """A bad version gets a bounded part of the requests until its order's end."""
    for rollout in log.rollouts:
        if not rollout.bad:
            continue
        runs = [run for run in log.runs if rollout.at <= run.at <= rollout.until]
        over = sum(
            run.version == rollout.to
            and not harmed(log, run.relay, run.at - _CONTACT_S, run.at)
            for run in runs
        )
        most = _EXPOSE_SHARE * len(runs) + _EXPOSE_SLACK
        if over > most:
            detail = f"{rollout.to} got {over} of {len(runs)}, {most:.0f} at most"
            yield Violation("exposure", detail)


def verdicts_final(log: Log, _terms: Terms) -> Iterable[Violation]:
    """A roll-out has one verdict, and a version rolled back gets nothing after it."""
    for rollout in log.rollouts:
        told = [s for s in log.statuses if s.to == rollout.to and s.at >= rollout.at]
        phases = [s.phase for s in told if s.phase is not Phase.RUNNING]
        if len(set(phases)) > 1:
            yield Violation("verdict", f"{rollout.to}: {[str(p) for p in phases]}")
        ends = [s.at for s in told if s.phase is Phase.ROLLED_BACK]
        if not ends:
            continue
        for run in log.runs:
            late = run.at - min(ends)
            if run.version != rollout.to or late <= _SLACK_S or run.carried:
                continue
            if not harmed(log, run.relay, min(ends) - _CONTACT_S, run.at):
                detail = f"{rollout.to} got {run.request_id} {late:.2f} s after its end"
                yield Violation("verdict", detail)


def bad_versions_go(log: Log, _terms: Terms) -> Iterable[Violation]:
    """A version that fails all of many requests isn't called good."""
    for rollout in log.rollouts:
        answered = sum(
            run.version == rollout.to and run.at <= rollout.until for run in log.runs
        )
        good = any(
            s.to == rollout.to and s.phase is Phase.COMPLETED for s in log.statuses
        )
        if rollout.bad and good and answered >= _BAD_ANSWERS:
            yield Violation("verdict", f"{rollout.to} is bad and was completed")


CHECKS: tuple[Check, ...] = (
    crashes_bound,
    bad_versions_exposed_little,
    verdicts_final,
    bad_versions_go,
    run_once,
    refusals_true,
    answers_whole,
    events_in_order,
    drained,
    config_never_back,
    within_limits,
    usage_told_once,
    usage_exact,
    stops_cut_nothing,
    limits_held,
    nothing_after_leaving,
    rests_kept,
)


def check_all(log: Log, terms: Terms) -> list[Violation]:
    """Return every promise that was broken."""
    return [violation for check in CHECKS for violation in check(log, terms)]
