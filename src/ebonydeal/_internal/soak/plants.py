"""Violations planted in the observations, to show that the checks detect them."""

from collections.abc import Callable

from ebonydeal._internal.models.rollouts import Phase
from ebonydeal._internal.soak.guarantees import Guarantees
from ebonydeal._internal.soak.records import (
    FATAL_PART_PREFIX,
    Announcement,
    Arrival,
    ClientResult,
    ClosedRun,
    CrowdPeriod,
    FatalRun,
    FaultPeriod,
    Kind,
    LinkCutPeriod,
    ListedLeaving,
    Log,
    OrderedRollout,
    OverloadPeriod,
    OwnEnd,
    RolloutStatus,
    UnequalPeriod,
    UsageReport,
)


def _first_result(log: Log, matches: Callable[[ClientResult], bool]) -> ClientResult:
    """Return the first matching result; raises LookupError without one."""
    for result in log.results:
        if matches(result):
            return result
    raise LookupError("no matching request was sent")


def _succeeded(kind: Kind) -> Callable[[ClientResult], bool]:
    return lambda result: (
        result.kind is kind and result.status == 200 and result.complete
    )


def _replace_result(log: Log, old: ClientResult, new: ClientResult) -> None:
    log.results[log.results.index(old)] = new


def _second_run(log: Log, _guarantees: Guarantees) -> None:
    result = _first_result(log, _succeeded(Kind.AT_MOST_ONCE))
    log.runs.append(next(r for r in log.runs if r.request_id == result.request_id))


def _false_refusal(log: Log, _guarantees: Guarantees) -> None:
    result = _first_result(log, _succeeded(Kind.AT_MOST_ONCE))
    _replace_result(log, result, result._replace(status=503))


def _mixed_answer(log: Log, _guarantees: Guarantees) -> None:
    result = _first_result(log, _succeeded(Kind.IDEMPOTENT))
    _replace_result(log, result, result._replace(body_request_id="another"))


def _lost_event(log: Log, _guarantees: Guarantees) -> None:
    result = _first_result(log, _succeeded(Kind.STREAM))
    _replace_result(
        log,
        result,
        result._replace(event_ids=result.event_ids[:2] + result.event_ids[3:]),
    )


def _mixed_versions(log: Log, _guarantees: Guarantees) -> None:
    result = _first_result(log, _succeeded(Kind.RESUMABLE_STREAM))
    for number in range(3):
        stream = f"{number:016x}"
        first = result._replace(request_id=stream, event_versions=frozenset({"v1"}))
        rest = first._replace(
            request_id=f"{stream}-1",
            first_attempt=stream,
            event_versions=frozenset({"v2"}),
        )
        log.results += [first, rest]


def _late_drain(log: Log, guarantees: Guarantees) -> None:
    run = log.runs[-1]
    log.fault_periods.clear()
    log.listed_leaving.append(
        ListedLeaving(run.endpoint, run.at - guarantees.drain_s - 5.0)
    )


def _older_config(log: Log, _guarantees: Guarantees) -> None:
    result = _first_result(log, _succeeded(Kind.PROBE))
    older = result._replace(sent=result.ended + 0.1, ended=result.ended + 0.2)
    log.results.append(older._replace(version=result.version - 1))


def _late_config(log: Log, guarantees: Guarantees) -> None:
    log.fault_periods.clear()
    result = _first_result(log, _succeeded(Kind.PROBE))
    newest = log.published_configs[-1]
    sent = newest.at + guarantees.apply_s + 2.0
    late = result._replace(sent=sent, ended=sent + 0.1, version=newest.version - 1)
    log.results.append(late)


def _own_end(log: Log, _guarantees: Guarantees) -> None:
    log.own_ends.append(OwnEnd("n1", 1.0, 1))


def _over_limit(log: Log, guarantees: Guarantees) -> None:
    run = log.runs[0]
    limit = guarantees.limits[0]
    for number in range(int(limit.max_in_window) + 1):
        added = run._replace(request_id=f"plant-{number}", account=limit.account)
        log.runs.append(added)


def _two_reports(log: Log, _guarantees: Guarantees) -> None:
    log.usage_reports.append(UsageReport(1, {"a": 1}, "n1", 1))
    log.usage_reports.append(UsageReport(1, {"a": 2}, "n1", 1))


def _wrong_usage(log: Log, guarantees: Guarantees) -> None:
    log.fault_periods.clear()
    window = int(log.runs[0].wall_time // guarantees.usage_window_s) + 1
    log.usage_reports = [UsageReport(window, {"a": 100_000}, "n1", 1)]


def _cut_by_stop(log: Log, _guarantees: Guarantees) -> None:
    result = _first_result(log, _succeeded(Kind.AT_MOST_ONCE))
    _replace_result(log, result, result._replace(status=0, complete=False))
    log.fault_periods = [FaultPeriod("stop", result.relay, result.sent, result.ended)]


def _keeps_crashing(log: Log, _guarantees: Guarantees) -> None:
    at = log.runs[0].at
    log.fatal_runs = [FatalRun("fatal", f"e{n}", "", at + 1.1 * n) for n in range(12)]


def _part_keeps_crashing(log: Log, _guarantees: Guarantees) -> None:
    at = log.runs[0].at
    cause = f"{FATAL_PART_PREFIX}-1"
    log.fatal_runs = [FatalRun(cause, f"e{n}", "", at + 1.1 * n) for n in range(14)]


def _overexposed(log: Log, _guarantees: Guarantees) -> None:
    log.fault_periods.clear()
    at = log.runs[0].at
    log.rollouts = [OrderedRollout("bad", True, at, at + 1e6)]
    run = log.runs[0]._replace(version="bad")
    log.runs += [run._replace(request_id=f"plant-{number}") for number in range(200)]


def _changed_verdict(log: Log, _guarantees: Guarantees) -> None:
    at = log.runs[0].at
    log.rollouts = [OrderedRollout("new", False, at, at + 1.0)]
    log.rollout_statuses = [
        RolloutStatus("new", Phase.ROLLED_BACK, at + 0.5),
        RolloutStatus("new", Phase.COMPLETED, at + 0.6),
    ]


def _over_announced_limit(log: Log, _guarantees: Guarantees) -> None:
    log.fault_periods.clear()
    log.announcements = [
        Announcement("e1", "n1", at, 1.0, False, 0.0) for at in (1.0, 9.0)
    ]
    log.arrivals = [Arrival("e1", "n1", f"p{n}", 5.0 + 0.1 * n) for n in range(12)]


def _during_backoff(log: Log, _guarantees: Guarantees) -> None:
    log.fault_periods.clear()
    log.announcements = [Announcement("e1", "n1", 1.0, None, False, 3.0)]
    log.arrivals = [Arrival("e1", "n1", f"p{n}", 2.0 + 0.1 * n) for n in range(3)]


def _after_leaving(log: Log, guarantees: Guarantees) -> None:
    log.fault_periods.clear()
    log.announcements = [Announcement("e1", "n1", 1.0, None, True, 0.0)]
    log.arrivals = [Arrival("e1", "n1", "p1", 1.0 + guarantees.drain_s + 1.5)]


def _unserved_at_cut(log: Log, _guarantees: Guarantees) -> None:
    log.fault_periods.clear()
    log.link_cuts = [LinkCutPeriod(("cut",), 1.0, 99.0)]
    base = _first_result(log, _succeeded(Kind.IDEMPOTENT))
    for number in range(40):
        sent = 50.0 + 0.1 * number
        served = base._replace(sent=sent, ended=sent + 0.05)
        refused = served._replace(relay="cut", status=503, body_request_id="")
        request_id = f"plant-{number}"
        served = served._replace(request_id=request_id, body_request_id=request_id)
        log.results += [served, refused._replace(request_id="refused")]


def _cut_in_silence(log: Log, _guarantees: Guarantees) -> None:
    log.fault_periods.clear()
    log.link_cuts.clear()
    base = _first_result(log, _succeeded(Kind.RESUMABLE_STREAM))
    log.results.append(base._replace(request_id="plant", complete=False))
    log.closed_runs.append(ClosedRun("e1", "plant", base.sent))


def _lost_in_planned_work(log: Log, _guarantees: Guarantees) -> None:
    log.fault_periods.clear()
    log.link_cuts.clear()
    result = _first_result(log, _succeeded(Kind.STREAM))
    _replace_result(log, result, result._replace(complete=False))
    log.fault_periods = [
        FaultPeriod("hang up", result.relay, result.sent, result.ended)
    ]


def _unserved_in_crowd(log: Log, guarantees: Guarantees) -> None:
    _unserved_at_cut(log, guarantees)
    log.link_cuts = []
    log.crowds = [CrowdPeriod("cut", 1.0, 99.0)]


def _plain_load(log: Log, late_from: float, late_to: float) -> None:
    """Replace all plain requests by some of one minute, late ones among them."""
    log.fault_periods.clear()
    log.link_cuts.clear()
    log.overloads, log.unequal_periods = [], []
    log.results = [result for result in log.results if not result.kind.is_plain]
    base = _first_result(log, _succeeded(Kind.IDEMPOTENT))
    for number in range(600):
        sent, request_id = 100.0 + 0.1 * number, f"plant-{number}"
        seconds = 2.0 if late_from <= sent < late_to else 0.1
        result = base._replace(
            request_id=request_id,
            kind=Kind.PLAIN,
            account="small",
            sent=sent,
            ended=sent + seconds,
            body_request_id=request_id,
        )
        log.results.append(result)


def _starved_in_overload(log: Log, _guarantees: Guarantees) -> None:
    _plain_load(log, 120.0, 123.0)
    log.overloads = [OverloadPeriod("large", 120.0, 123.0)]


def _late_after_overload(log: Log, _guarantees: Guarantees) -> None:
    _plain_load(log, 123.5, 160.0)
    log.overloads = [OverloadPeriod("large", 120.0, 123.0)]


def _late_at_unequal(log: Log, _guarantees: Guarantees) -> None:
    _plain_load(log, 136.0, 140.0)
    log.unequal_periods = [UnequalPeriod(120.0, 130.0, 140.0)]


PLANTS: dict[str, tuple[Callable[[Log, Guarantees], None], str]] = {
    "second-run": (_second_run, "run once"),
    "false-refusal": (_false_refusal, "refusal"),
    "mixed-answer": (_mixed_answer, "whole answer"),
    "lost-event": (_lost_event, "event order"),
    "mixed-versions": (_mixed_versions, "stream versions"),
    "late-drain": (_late_drain, "drain"),
    "older-config": (_older_config, "configuration"),
    "late-config": (_late_config, "configuration"),
    "own-end": (_own_end, "own end"),
    "over-limit": (_over_limit, "limit"),
    "two-reports": (_two_reports, "usage"),
    "wrong-usage": (_wrong_usage, "usage"),
    "cut-by-stop": (_cut_by_stop, "planned stop"),
    "cut-in-silence": (_cut_in_silence, "silent streams"),
    "lost-in-planned-work": (_lost_in_planned_work, "lost streams"),
    "crashes-on": (_keeps_crashing, "crashes"),
    "part-crashes-on": (_part_keeps_crashing, "crashes"),
    "exposed": (_overexposed, "exposure"),
    "turned-back": (_changed_verdict, "verdict"),
    "over-named-limit": (_over_announced_limit, "endpoint limit"),
    "in-a-rest": (_during_backoff, "rest"),
    "after-leaving": (_after_leaving, "leaving said"),
    "unserved-at-cut": (_unserved_at_cut, "cut links"),
    "unserved-in-crowd": (_unserved_in_crowd, "crowded"),
    "starved-in-overload": (_starved_in_overload, "shares"),
    "late-after-overload": (_late_after_overload, "recovery"),
    "late-at-unequal": (_late_at_unequal, "unequal endpoints"),
}
