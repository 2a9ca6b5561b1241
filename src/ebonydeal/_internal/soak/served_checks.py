"""Checks that relays in trouble serve their clients like the others."""

from collections import defaultdict
from collections.abc import Collection, Iterable

from ebonydeal._internal.soak.guarantees import Guarantees, Violation, had_fault
from ebonydeal._internal.soak.records import ClientResult, Kind, Log

# The users' bounds on relays that are cut from all endpoints, and on those that get
# most new connections: their clients are served this much as often as those of other
# relays, or no more requests fail than a share and the allowance.
_MIN_CUT_SERVED_RATIO = 2.0 / 3.0
_MIN_CROWD_SERVED_RATIO = 0.75
_MAX_FAILURE_SHARE = 1.0 / 50.0
_ALLOWANCE = 10


def _is_served(result: ClientResult) -> bool:
    return result.status == 200 and result.complete


def served_while_links_are_cut(log: Log, guarantees: Guarantees) -> Iterable[Violation]:
    """Relays without links to endpoints serve their clients like the others.

    That takes another relay that has its links, and no fault.
    """
    relays = {result.relay for result in log.results}
    for cut in log.link_cuts:
        since = cut.begin + guarantees.contact_s
        served = _served_like_others(
            log,
            guarantees,
            cut.relays,
            since,
            cut.end,
            _MIN_CUT_SERVED_RATIO,
            needed=relays - set(cut.relays),
        )
        if served is not None:
            detail = f"{', '.join(cut.relays)} cut from the endpoints: {served}"
            yield Violation("cut links", detail)


def served_while_crowded(log: Log, guarantees: Guarantees) -> Iterable[Violation]:
    """A relay that gets most new connections serves its clients like the others."""
    for crowd in log.crowds:
        since = crowd.begin + guarantees.contact_s
        served = _served_like_others(
            log, guarantees, (crowd.relay,), since, crowd.end, _MIN_CROWD_SERVED_RATIO
        )
        if served is not None:
            detail = f"{crowd.relay} gets most new connections: {served}"
            yield Violation("crowded", detail)


def _served_like_others(
    log: Log,
    guarantees: Guarantees,
    relays: Collection[str],
    since: float,
    end: float,
    min_ratio: float,
    needed: Collection[str] = (),
) -> str | None:
    """Return how many requests relays served, if too few; None otherwise.

    They are compared with others in the same seconds, since endpoints crash and return
    meanwhile. Relays with another fault aren't counted, nor requests that may be
    refused. ``min_ratio`` is the least share of what the others serve. Requests during
    which all ``needed`` relays had a fault aren't counted either.
    """
    observed: dict[int, list[bool]] = defaultdict(list)
    others: dict[int, list[bool]] = defaultdict(list)
    for result in log.results:
        if (
            result.kind is not Kind.PROBE
            and result.owed
            and since <= result.sent <= result.ended <= end
            and not had_fault(
                log, result.relay, result.sent - guarantees.contact_s, result.ended
            )
            and not (
                needed
                and all(had_fault(log, r, result.sent, result.ended) for r in needed)
            )
        ):
            group = observed if result.relay in relays else others
            group[int(result.sent - since)].append(_is_served(result))
    seconds = observed.keys() & others.keys()
    sent = sum(len(observed[second]) for second in seconds)
    served = sum(sum(observed[second]) for second in seconds)
    expected = sum(
        len(observed[second]) * sum(others[second]) / len(others[second])
        for second in seconds
    )
    tolerated = _ALLOWANCE + _MAX_FAILURE_SHARE * sent
    if served >= min_ratio * expected or sent - served <= tolerated:
        return None
    return (
        f"{served} of {sent} requests served, {expected:.0f} if served like those of"
        " other relays"
    )
