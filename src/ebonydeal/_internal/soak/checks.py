"""Checks of the guarantees against what was observed from outside."""

from collections import defaultdict
from collections.abc import Iterable

from ebonydeal._internal.models.rollouts import Phase
from ebonydeal._internal.soak.config_checks import (
    config_in_force_in_time,
    config_never_reverts,
)
from ebonydeal._internal.soak.guarantees import (
    Check,
    Guarantees,
    Limit,
    Violation,
    had_fault,
)
from ebonydeal._internal.soak.notice_checks import (
    backoffs_respected,
    endpoint_limits_respected,
    no_requests_after_announced_leaving,
)
from ebonydeal._internal.soak.overload_checks import (
    served_after_overload,
    served_at_unequal_endpoints,
    small_accounts_served_in_overload,
)
from ebonydeal._internal.soak.records import (
    FATAL_PART_PREFIX,
    FatalRun,
    Kind,
    Log,
    event_count,
)
from ebonydeal._internal.soak.served_checks import (
    served_while_crowded,
    served_while_links_are_cut,
)
from ebonydeal._internal.soak.stream_checks import streams_survive_planned_work

# Statuses that guarantee that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Machines are busy while a soak runs, so a deadline may be missed by this much.
_DELAY_TOLERANCE_S = 1.0
# A fault may have effects for this long after its end.
_RECOVERY_S = 4.0
# The coordinator collects its own counts, like those of other relays, twice a second
# and persists them with each renewal of the lease, once a second. What it counted
# within this time before it is killed may be lost.
_UNREPORTED_S = 2.0
# The users' bounds on crashing requests: endpoints that one may crash before all relays
# refuse it, the time for relays to learn of it, and sends allowed after that time.
_CRASH_THRESHOLD = 3
_PART_CRASH_THRESHOLD = 5
_MAX_PROPAGATION_S = 3.0
_MAX_LATE_RUNS = 3
# A request sent before a kill may reach an endpoint this much later.
_MAX_IN_FLIGHT_S = 0.25
# The users' bounds on a faulty version: it may get this share of a service's requests
# plus the allowance. From the minimum of requests on, its verdict must be right.
_MAX_EXPOSED_SHARE = 0.1
_EXPOSURE_ALLOWANCE = 50
_MIN_VERDICT_REQUESTS = 50
# The users' bound on streams that hold events of several versions.
_MAX_MIXED_STREAMS = 2


def _no_fault(
    log: Log,
    relay: str,
    begin: float,
    end: float,
    recovery_s: float = _RECOVERY_S,
) -> bool:
    """Return whether no fault affected a relay from ``begin`` to ``end``.

    A fault has effects until ``recovery_s`` after its end.
    """
    return not any(
        period.relay in ("", relay)
        and period.begin <= end
        and period.end + recovery_s >= begin
        for period in log.fault_periods
    )


def runs_at_most_once(log: Log, _guarantees: Guarantees) -> Iterable[Violation]:
    """No request that may run at most once runs twice."""
    at_most_once = {
        result.request_id for result in log.results if result.kind.runs_once
    }
    count: dict[str, int] = defaultdict(int)
    for run in log.runs:
        if run.request_id in at_most_once and not run.migrated:
            count[run.request_id] += 1
    for request_id, runs in count.items():
        if runs > 1:
            yield Violation("run once", f"{request_id} ran {runs} times")


def refused_requests_never_run(
    log: Log, _guarantees: Guarantees
) -> Iterable[Violation]:
    """A request refused as not run has not run and never does."""
    ran = {run.request_id for run in log.runs}
    for result in log.results:
        if (
            result.kind.runs_once
            and result.status in _NOT_RUN_STATUSES
            and result.request_id in ran
        ):
            yield Violation(
                "refusal", f"{result.request_id}: {result.status}, but it ran"
            )


def answers_match_requests(log: Log, _guarantees: Guarantees) -> Iterable[Violation]:
    """A successful response belongs to the request that was sent."""
    for result in log.results:
        if result.kind is Kind.PROBE or result.status != 200 or not result.complete:
            continue
        if not result.kind.is_stream and result.body_request_id != result.request_id:
            detail = f"{result.request_id} got the answer to {result.body_request_id!r}"
            yield Violation("whole answer", detail)


def events_in_order(log: Log, _guarantees: Guarantees) -> Iterable[Violation]:
    """Each event arrives once and in order, and a complete stream has all events."""
    for result in log.results:
        if not result.kind.is_stream or result.status != 200:
            continue
        before = result.events_before
        end = before + len(result.event_ids)
        if result.event_ids != tuple(range(before + 1, end + 1)):
            yield Violation("event order", f"{result.request_id}: {result.event_ids}")
        elif result.complete and end != event_count(result.stream):
            yield Violation("event order", f"{result.request_id} ends after {end}")


def streams_of_one_version(log: Log, _guarantees: Guarantees) -> Iterable[Violation]:
    """A stream holds events of one software version, over all of its client's tries."""
    versions: dict[str, set[str]] = defaultdict(set)
    for result in log.results:
        versions[result.stream].update(result.event_versions)
    mixed = {stream: found for stream, found in versions.items() if len(found) > 1}
    if len(mixed) > _MAX_MIXED_STREAMS:
        detail = f"{len(mixed)} streams hold several versions, {sorted(mixed)[:4]}"
        yield Violation("stream versions", detail)


def no_requests_after_drain(log: Log, guarantees: Guarantees) -> Iterable[Violation]:
    """An endpoint that leaves by the list gets no new requests after the drain time."""
    listed_at = {leave.endpoint: leave.at for leave in log.listed_leaving}
    for run in log.runs:
        at = listed_at.get(run.endpoint)
        if at is None or run.at <= at + guarantees.drain_s + _DELAY_TOLERANCE_S:
            continue
        if _no_fault(log, run.relay, at, run.at, guarantees.contact_s):
            late = run.at - at
            detail = (
                f"{run.endpoint} got {run.request_id} from {run.relay} {late:.2f} s"
                " after the list said that it leaves"
            )
            yield Violation("drain", detail)


def account_limits_respected(log: Log, guarantees: Guarantees) -> Iterable[Violation]:
    """A client account gets no more than its limit in any window."""
    for limit in guarantees.limits:
        used = _fullest_window(log, limit, guarantees.quota_window_s)
        if used > limit.max_in_window:
            detail = (
                f"{limit.account} used {used:.0f} in one window, its limit is"
                f" {limit.max_in_window:.0f}"
            )
            yield Violation("limit", detail)


def _fullest_window(log: Log, limit: Limit, window: float) -> float:
    """Return the maximum that an account's first runs count in any window."""
    first: dict[str, float] = {}
    for run in log.runs:
        if run.account == limit.account:
            first[run.request_id] = min(run.at, first.get(run.request_id, run.at))
    arrivals = sorted((at, request_id) for request_id, at in first.items())
    fullest = total = 0.0
    begin = 0
    sizes = [log.tokens[name] if limit.in_tokens else 1.0 for _at, name in arrivals]
    for end, (at, _name) in enumerate(arrivals):
        total += sizes[end]
        while arrivals[begin][0] < at - window:
            total -= sizes[begin]
            begin += 1
        fullest = max(fullest, total)
    return fullest


def usage_reported_once(log: Log, _guarantees: Guarantees) -> Iterable[Violation]:
    """A usage window has one report, and a fencing token one holder."""
    reported: dict[int, dict[str, int]] = {}
    holders: dict[int, str] = {}
    for report in log.usage_reports:
        if reported.setdefault(report.window, report.counts) != report.counts:
            yield Violation("usage", f"window {report.window} was reported twice")
        if holders.setdefault(report.fence, report.holder) != report.holder:
            yield Violation("usage", f"fencing token {report.fence} has two holders")


def _count_unreported(log: Log, begin: float, end: float) -> int:
    """Return how many counts of a window may be lost with a killed relay."""
    kills = [period for period in log.fault_periods if period.kind == "kill"]
    return len(
        {
            run.request_id
            for run in log.runs
            if begin <= run.at < end
            and any(
                run.relay == kill.relay
                and -_UNREPORTED_S <= run.at - kill.begin <= _MAX_IN_FLIGHT_S
                for kill in kills
            )
        }
    )


def usage_exact(log: Log, guarantees: Guarantees) -> Iterable[Violation]:
    """In windows without faults, usage reports count the requests that started.

    Counts that a killed relay had no time to report may be missing.
    """
    offset = log.runs[0].wall_time - log.runs[0].at if log.runs else 0.0
    # A request that ran in several windows is reported in one of them.
    windows_by_request: dict[tuple[str, str], set[int]] = defaultdict(set)
    for run in log.runs:
        window = int(run.wall_time // guarantees.usage_window_s)
        windows_by_request[run.account, run.request_id].add(window)
    started_by_window: dict[int, int] = defaultdict(int)
    repeated_by_window: dict[int, int] = defaultdict(int)
    for windows in windows_by_request.values():
        for window in windows:
            started_by_window[window] += 1
            repeated_by_window[window] += len(windows) > 1
    for report in log.usage_reports:
        begin = report.window * guarantees.usage_window_s - offset
        if not log.runs or begin < log.runs[0].at:
            # Earlier requests are not in the log.
            continue
        if not _no_fault(log, "", begin - 1.0, begin + guarantees.usage_window_s + 1.0):
            continue
        if any(not _no_fault(log, t.relay, begin, begin) for t in log.fault_periods):
            continue
        if any(
            cut.begin - 1.0 <= begin + guarantees.usage_window_s
            and begin <= cut.begin + guarantees.contact_s
            for cut in log.link_cuts
        ):
            # Requests in flight when links are cut count once their outcome is known.
            continue
        started = started_by_window[report.window]
        reported = sum(report.counts.values())
        # Requests at a window's boundary may be counted in either window.
        tolerance = 3 + 0.1 * started
        min_reported = (
            started
            - tolerance
            - repeated_by_window[report.window]
            - _count_unreported(log, begin, begin + guarantees.usage_window_s)
        )
        if not min_reported <= reported <= started + tolerance:
            detail = f"window {report.window}: {reported} reported, {started} started"
            yield Violation("usage", detail)


def planned_stops_interrupt_no_requests(
    log: Log, guarantees: Guarantees
) -> Iterable[Violation]:
    """A planned stop of a relay interrupts no request that reached an endpoint."""
    reached = {run.request_id for run in log.runs}
    stops = [period for period in log.fault_periods if period.kind == "stop"]
    others = [(p.begin, p.end) for p in log.fault_periods if p.kind != "stop"]
    others += [(cut.begin, cut.end) for cut in log.link_cuts]
    for result in log.results:
        interrupted = result.status == 0 or (
            result.status == 200 and not result.complete
        )
        if not interrupted or result.request_id not in reached:
            continue
        if result.ended - result.sent >= guarantees.timeout_s:
            # Its own deadline ended it, as for a long stream on a busy machine.
            continue
        for stop in stops:
            # A slow reader notices the end of its answer after that of the process.
            if result.relay != stop.relay or not (
                result.sent <= stop.end and stop.begin <= result.ended
            ):
                continue
            alone = all(
                end + _RECOVERY_S < result.sent or begin > result.ended
                for begin, end in others
            )
            if alone:
                yield Violation("planned stop", f"{result.request_id} was interrupted")


def silent_streams_not_cut(log: Log, guarantees: Guarantees) -> Iterable[Violation]:
    """A silent run is closed only once its stream goes on at another endpoint."""
    cuts = [(cut.begin, cut.end) for cut in log.link_cuts]
    runs = defaultdict(set)
    for run in log.runs:
        runs[run.request_id].add(run.endpoint)
    for result in log.results:
        is_cut = result.status == 200 and not result.complete
        if not is_cut or result.ended - result.sent >= guarantees.timeout_s:
            continue
        if not _no_fault(log, result.relay, result.sent, result.ended):
            continue
        if any(b <= result.ended and e + _RECOVERY_S >= result.sent for b, e in cuts):
            continue
        for closed in log.closed_runs:
            is_only = runs[result.request_id] <= {closed.endpoint}
            if closed.request_id == result.request_id and is_only:
                detail = f"{result.request_id} was cut while {closed.endpoint} paused"
                yield Violation("silent streams", detail)


def crashing_requests_bounded(log: Log, _guarantees: Guarantees) -> Iterable[Violation]:
    """A request that crashed three endpoints reaches few more.

    Relays without faults send it at most three times once they had time to learn of
    the crashes. The same holds for all requests with one part of their prompts, from
    the fifth crash on.
    """
    by_cause: dict[str, list[FatalRun]] = defaultdict(list)
    for run in sorted(log.fatal_runs, key=lambda it: it.at):
        by_cause[run.cause].append(run)
    for cause, runs in by_cause.items():
        is_part = cause.startswith(FATAL_PART_PREFIX)
        threshold = _PART_CRASH_THRESHOLD if is_part else _CRASH_THRESHOLD
        crashed_at = list({run.endpoint: run.at for run in reversed(runs)}.values())
        if len(crashed_at) < threshold:
            continue
        last_allowed_at = sorted(crashed_at)[threshold - 1]
        late = [
            run
            for run in runs
            if run.at > last_allowed_at + _MAX_PROPAGATION_S
            and not had_fault(log, run.relay, run.at - _MAX_PROPAGATION_S, run.at)
        ]
        if len(late) > _MAX_LATE_RUNS:
            detail = (
                f"{cause} reached endpoints {len(late)} times after {threshold} crashes"
            )
            yield Violation("crashes", detail)


def faulty_version_exposure_bounded(
    log: Log, _guarantees: Guarantees
) -> Iterable[Violation]:
    """A faulty version gets a bounded share of the requests until the deadline."""
    for rollout in log.rollouts:
        if not rollout.faulty:
            continue
        runs = [
            run
            for run in log.runs
            if rollout.at <= run.at <= rollout.deadline and not run.plain
        ]
        exposed = sum(
            run.version == rollout.target_version
            and not had_fault(log, run.relay, run.at - _MAX_PROPAGATION_S, run.at)
            for run in runs
        )
        max_exposed = _MAX_EXPOSED_SHARE * len(runs) + _EXPOSURE_ALLOWANCE
        if exposed > max_exposed:
            detail = (
                f"{rollout.target_version} got {exposed} of {len(runs)} requests,"
                f" {max_exposed:.0f} allowed"
            )
            yield Violation("exposure", detail)


def rollout_verdicts_final(log: Log, _guarantees: Guarantees) -> Iterable[Violation]:
    """A roll-out has one verdict; a version rolled back gets no requests after it."""
    for rollout in log.rollouts:
        statuses = [
            s
            for s in log.rollout_statuses
            if s.target_version == rollout.target_version and s.at >= rollout.at
        ]
        phases = [s.phase for s in statuses if s.phase is not Phase.RUNNING]
        if len(set(phases)) > 1:
            yield Violation(
                "verdict", f"{rollout.target_version}: {[str(p) for p in phases]}"
            )
        rollback_times = [s.at for s in statuses if s.phase is Phase.ROLLED_BACK]
        if not rollback_times:
            continue
        for run in log.runs:
            late = run.at - min(rollback_times)
            if (
                run.version != rollout.target_version
                or late <= _DELAY_TOLERANCE_S
                or run.migrated
            ):
                continue
            if not had_fault(
                log, run.relay, min(rollback_times) - _MAX_PROPAGATION_S, run.at
            ):
                detail = (
                    f"{rollout.target_version} got {run.request_id} {late:.2f} s after"
                    " its rollback"
                )
                yield Violation("verdict", detail)


def faulty_versions_not_completed(
    log: Log, _guarantees: Guarantees
) -> Iterable[Violation]:
    """A faulty version that got enough requests is never completed."""
    for rollout in log.rollouts:
        requests = sum(
            run.version == rollout.target_version and run.at <= rollout.deadline
            for run in log.runs
        )
        completed = any(
            s.target_version == rollout.target_version and s.phase is Phase.COMPLETED
            for s in log.rollout_statuses
        )
        if rollout.faulty and completed and requests >= _MIN_VERDICT_REQUESTS:
            yield Violation(
                "verdict", f"{rollout.target_version} is faulty and was completed"
            )


def processes_end_only_when_told(
    log: Log, _guarantees: Guarantees
) -> Iterable[Violation]:
    """No relay's process ends by itself."""
    for end in log.own_ends:
        detail = f"{end.relay} ended by itself with code {end.exit_code}"
        yield Violation("own end", detail)


CHECKS: tuple[Check, ...] = (
    processes_end_only_when_told,
    crashing_requests_bounded,
    faulty_version_exposure_bounded,
    rollout_verdicts_final,
    faulty_versions_not_completed,
    runs_at_most_once,
    refused_requests_never_run,
    answers_match_requests,
    events_in_order,
    streams_of_one_version,
    no_requests_after_drain,
    config_never_reverts,
    config_in_force_in_time,
    account_limits_respected,
    usage_reported_once,
    usage_exact,
    planned_stops_interrupt_no_requests,
    silent_streams_not_cut,
    streams_survive_planned_work,
    endpoint_limits_respected,
    no_requests_after_announced_leaving,
    backoffs_respected,
    served_while_links_are_cut,
    served_while_crowded,
    small_accounts_served_in_overload,
    served_after_overload,
    served_at_unequal_endpoints,
)


def check_all(log: Log, guarantees: Guarantees) -> list[Violation]:
    """Return all violations of the guarantees."""
    return [violation for check in CHECKS for violation in check(log, guarantees)]
