"""Faults that are planted in what was seen, to show that the checks see them."""

from collections.abc import Callable

from ebonydeal._internal.models.rollouts import Phase
from ebonydeal._internal.soak.records import (
    Arrived,
    FatalRun,
    Kind,
    Leave,
    Log,
    Report,
    Rollout,
    Seen,
    Status,
    Told,
    Trouble,
)
from ebonydeal._internal.soak.terms import Terms


def _first(log: Log, wanted: Callable[[Seen], bool]) -> Seen:
    """Return the first request of a sort; raises LookupError without one."""
    for seen in log.seen:
        if wanted(seen):
            return seen
    raise LookupError("no request of the sort was made")


def _good(kind: Kind) -> Callable[[Seen], bool]:
    return lambda seen: seen.kind is kind and seen.status == 200 and seen.whole


def _put(log: Log, old: Seen, new: Seen) -> None:
    log.seen[log.seen.index(old)] = new


def _second_run(log: Log, _terms: Terms) -> None:
    seen = _first(log, _good(Kind.ONCE))
    log.runs.append(next(r for r in log.runs if r.request_id == seen.request_id))


def _false_refusal(log: Log, _terms: Terms) -> None:
    seen = _first(log, _good(Kind.ONCE))
    _put(log, seen, seen._replace(status=503))


def _mixed_answer(log: Log, _terms: Terms) -> None:
    seen = _first(log, _good(Kind.SAFE))
    _put(log, seen, seen._replace(body_id="another"))


def _lost_event(log: Log, _terms: Terms) -> None:
    seen = _first(log, _good(Kind.LIVE))
    _put(log, seen, seen._replace(numbers=seen.numbers[:2] + seen.numbers[3:]))


def _late_drain(log: Log, terms: Terms) -> None:
    run = log.runs[-1]
    log.troubles.clear()
    log.leaves.append(Leave(run.endpoint, run.at - terms.drain - 5.0))


def _older_config(log: Log, _terms: Terms) -> None:
    seen = _first(log, _good(Kind.PROBE))
    older = seen._replace(sent=seen.ended + 0.1, ended=seen.ended + 0.2)
    log.seen.append(older._replace(version=seen.version - 1))


def _over_limit(log: Log, terms: Terms) -> None:
    run = log.runs[0]
    limit = terms.limits[0]
    for number in range(int(limit.most) + 1):
        added = run._replace(request_id=f"plant-{number}", account=limit.account)
        log.runs.append(added)


def _two_reports(log: Log, _terms: Terms) -> None:
    log.reports.append(Report(1, {"a": 1}, "n1", 1))
    log.reports.append(Report(1, {"a": 2}, "n1", 1))


def _wrong_usage(log: Log, terms: Terms) -> None:
    log.troubles.clear()
    window = int(log.runs[0].wall // terms.usage_window) + 1
    log.reports = [Report(window, {"a": 100_000}, "n1", 1)]


def _cut_by_stop(log: Log, _terms: Terms) -> None:
    seen = _first(log, _good(Kind.ONCE))
    _put(log, seen, seen._replace(status=0, whole=False))
    log.troubles = [Trouble("stop", seen.relay, seen.sent, seen.ended)]


def _crashes_on(log: Log, _terms: Terms) -> None:
    at = log.runs[0].at
    log.fatal = [FatalRun("fatal", f"e{n}", "", at + 1.1 * n) for n in range(12)]


def _exposed(log: Log, _terms: Terms) -> None:
    log.troubles.clear()
    at = log.runs[0].at
    log.rollouts = [Rollout("bad", True, at, at + 1e6)]
    run = log.runs[0]._replace(version="bad")
    log.runs += [run._replace(request_id=f"plant-{number}") for number in range(200)]


def _turned_back(log: Log, _terms: Terms) -> None:
    at = log.runs[0].at
    log.rollouts = [Rollout("new", False, at, at + 1.0)]
    log.statuses = [
        Status("new", Phase.ROLLED_BACK, at + 0.5),
        Status("new", Phase.COMPLETED, at + 0.6),
    ]


def _over_named_limit(log: Log, _terms: Terms) -> None:
    log.troubles.clear()
    log.told = [Told("e1", "n1", at, 1.0, False, 0.0) for at in (1.0, 9.0)]
    log.arrived = [Arrived("e1", "n1", f"p{n}", 5.0 + 0.1 * n) for n in range(12)]


def _in_a_rest(log: Log, _terms: Terms) -> None:
    log.troubles.clear()
    log.told = [Told("e1", "n1", 1.0, None, False, 3.0)]
    log.arrived = [Arrived("e1", "n1", f"p{n}", 2.0 + 0.1 * n) for n in range(3)]


def _after_leaving(log: Log, terms: Terms) -> None:
    log.troubles.clear()
    log.told = [Told("e1", "n1", 1.0, None, True, 0.0)]
    log.arrived = [Arrived("e1", "n1", "p1", 1.0 + terms.drain + 1.5)]


PLANTS: dict[str, tuple[Callable[[Log, Terms], None], str]] = {
    "second-run": (_second_run, "run once"),
    "false-refusal": (_false_refusal, "refusal"),
    "mixed-answer": (_mixed_answer, "whole answer"),
    "lost-event": (_lost_event, "event order"),
    "late-drain": (_late_drain, "drain"),
    "older-config": (_older_config, "configuration"),
    "over-limit": (_over_limit, "limit"),
    "two-reports": (_two_reports, "usage"),
    "wrong-usage": (_wrong_usage, "usage"),
    "cut-by-stop": (_cut_by_stop, "planned stop"),
    "crashes-on": (_crashes_on, "crashes"),
    "exposed": (_exposed, "exposure"),
    "turned-back": (_turned_back, "verdict"),
    "over-named-limit": (_over_named_limit, "endpoint limit"),
    "in-a-rest": (_in_a_rest, "rest"),
    "after-leaving": (_after_leaving, "leaving said"),
}
