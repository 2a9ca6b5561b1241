"""One roll-out at the coordinator: its course, and what relays counted of it."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ebonydeal._internal.models.rollouts import Phase
from ebonydeal._internal.relay.peers.messages import ExchangeMessage
from ebonydeal._internal.routing.rollout.evidence import EvidenceSummary
from ebonydeal._internal.routing.rollout.rollout_state import (
    Continue,
    RolloutState,
    Verdict,
)
from ebonydeal._internal.routing.rollout.tally import Counts, added, empty, less
from ebonydeal._internal.routing.rollout.traffic_split import TallyMessage


class Counted(NamedTuple):
    """What one relay told last: requests by route, exposed ones, and answers."""

    requests: dict[str, int]
    exposed: int
    old: dict[str, Counts]
    new: dict[str, dict[str, Counts]]

    @classmethod
    def from_message(cls, tally: TallyMessage) -> "Counted":
        """Build from a relay's word."""
        return cls(
            {str(route): int(count) for route, count in tally["requests"].items()},
            sum(int(count) for count in tally["exposed"].values()),
            {route: list(counts) for route, counts in tally["old"].items()},
            {
                route: {e: list(counts) for e, counts in by_endpoint.items()}
                for route, by_endpoint in tally["new"].items()
            },
        )


class Totals(NamedTuple):
    """Requests that one relay counted since the order, and the exposed ones."""

    requests: int
    exposed: int


_NOTHING = Counted({}, 0, {}, {})


@dataclass
class RolloutRun:
    """One roll-out.

    Attributes
    ----------
    course : Course
        The decision.
    verdict : Verdict
        What was decided last.
    told : dict of str to Counted
        What relays told last, by name and incarnation.
    kept : dict of str to Totals
        What the holder before knew of relays that weren't heard here yet.
    status_due : bool
        Whether operators are still to be told of its phase.
    """

    course: RolloutState
    verdict: Verdict = field(default_factory=lambda: Continue({}, ()))
    told: dict[str, Counted] = field(default_factory=dict)
    kept: dict[str, Totals] = field(default_factory=dict)
    status_due: bool = True

    @property
    def is_running(self) -> bool:
        """Whether there is no verdict yet."""
        return self.course.phase is Phase.RUNNING

    @property
    def standing(self) -> EvidenceSummary:
        """How much speaks against the version."""
        return self.course.evidence.standing()

    def decided_before(self, words: Iterable[ExchangeMessage]) -> Phase | None:
        """Return the verdict that relays act on already, or None.

        The holder before may have told it to them and not written it.
        """
        for _counter, tally in self._tallies(words):
            if tally["phase"] != str(Phase.RUNNING):
                return Phase(tally["phase"])
        return None

    def hear(self, words: Iterable[ExchangeMessage], alone: bool, now: float) -> None:
        """Take what relays counted since they told last; ``alone`` as in `Evidence`."""
        old: dict[str, Counts] = {}
        new: dict[str, dict[str, Counts]] = {}
        for counter, tally in self._tallies(words):
            told = Counted.from_message(tally)
            last = self.told.get(counter, _NOTHING)
            self.told[counter] = told
            self._add_requests(counter, told, last)
            _add_answers(told, last, old, new)
        if old or new:
            self.course.evidence.add(old, new, now, alone)

    def _tallies(
        self, words: Iterable[ExchangeMessage]
    ) -> Iterable[tuple[str, TallyMessage]]:
        """Return what was told of this order, by relay and incarnation."""
        order = self.course.order
        for word in words:
            # A relay of the release before doesn't tell of roll-outs.
            tally = word.get("rollouts", {}).get(order.service)
            if tally is not None and tally["revision"] == order.revision:
                yield f"{word['node']}/{word['incarnation']}", tally

    def _add_requests(self, counter: str, told: Counted, last: Counted) -> None:
        requests = {
            route: max(0, count - last.requests.get(route, 0))
            for route, count in told.requests.items()
        }
        exposed = max(0, told.exposed - last.exposed)
        if last is not _NOTHING:
            self.course.add_requests(requests, exposed)
            return
        # A relay's first word to this holder is of all the time since the order, and
        # says nothing of the rate; the holder before may have counted most of it.
        before = self.kept.pop(counter, Totals(0, 0))
        more = max(0, sum(requests.values()) - before.requests)
        self.course.requests += more
        self.course.exposed += max(0, exposed - before.exposed)

    def totals(self) -> dict[str, Totals]:
        """Return what each relay counted since the order."""
        found = dict(self.kept)
        for counter, told in self.told.items():
            found[counter] = Totals(sum(told.requests.values()), told.exposed)
        return found

    def spent(self) -> dict[str, int]:
        """Return what lines and reports say of the requests so far."""
        course = self.course
        return {
            "requests": int(course.requests),
            "exposed": int(course.exposed),
            "answers": course.evidence.answers,
            "failed": course.evidence.bad,
        }


def _add_answers(
    told: Counted,
    last: Counted,
    old: dict[str, Counts],
    new: dict[str, dict[str, Counts]],
) -> None:
    """Add what one relay counted since it told last to ``old`` and ``new``."""
    for route, counts in told.old.items():
        fresh = less(counts, last.old.get(route, empty()))
        old[route] = added(old.get(route, empty()), fresh)
    for route, by_endpoint in told.new.items():
        known = last.new.get(route, {})
        for endpoint_id, counts in by_endpoint.items():
            fresh = less(counts, known.get(endpoint_id, empty()))
            if any(fresh):
                sums = new.setdefault(route, {})
                sums[endpoint_id] = added(sums.get(endpoint_id, empty()), fresh)
