"""One roll-out at the coordinator: its state, and the counts of the relays."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.relay.peers.messages import ExchangeMessage
from ebonydeal._internal.routing.rollout.evidence import EvidenceSummary
from ebonydeal._internal.routing.rollout.rollout_state import (
    Continue,
    RolloutState,
    Verdict,
)
from ebonydeal._internal.routing.rollout.tally import (
    Counts,
    add_counts,
    empty_counts,
    subtract_counts,
)
from ebonydeal._internal.routing.rollout.traffic_split import TallyMessage


class RelayCounts(NamedTuple):
    """What one relay counted: requests by route, exposed ones, and answers."""

    requests: dict[str, int]
    exposed: int
    old: dict[str, Counts]
    new: dict[str, dict[str, Counts]]

    @classmethod
    def from_message(cls, tally: TallyMessage) -> "RelayCounts":
        """Build from a relay's report."""
        return cls(
            {str(route): int(count) for route, count in tally["requests"].items()},
            sum(int(count) for count in tally["exposed"].values()),
            {route: list(counts) for route, counts in tally["old"].items()},
            {
                route: {e: list(counts) for e, counts in by_endpoint.items()}
                for route, by_endpoint in tally["new"].items()
            },
        )


class RequestTotals(NamedTuple):
    """Requests that one relay counted since the order, and the exposed ones."""

    requests: int
    exposed: int


_NO_COUNTS = RelayCounts({}, 0, {}, {})


@dataclass
class RolloutRun:
    """One roll-out.

    Attributes
    ----------
    state : RolloutState
        The state, and the decisions.
    verdict : Verdict
        The last decision.
    reported : dict of str to RelayCounts
        Last report of each relay, by its name and incarnation.
    inherited : dict of str to RequestTotals
        Totals from the previous lease holder, of relays that haven't reported here.
    status_due : bool
        Whether the status that operators read must still be written.
    is_loaded : bool
        Whether it was read from the store and not compared with the orders yet.
    recovering_since : float or None
        Since when its verdict is asked for that a restored store may have lost,
        monotonic seconds. Until that is known no gate is sent.
    """

    state: RolloutState
    verdict: Verdict = field(default_factory=lambda: Continue({}, ()))
    reported: dict[str, RelayCounts] = field(default_factory=dict)
    inherited: dict[str, RequestTotals] = field(default_factory=dict)
    status_due: bool = True
    is_loaded: bool = False
    recovering_since: float | None = None

    @property
    def is_running(self) -> bool:
        """Whether there is no verdict yet."""
        return self.state.phase is Phase.RUNNING

    @property
    def is_up_to_date(self) -> bool:
        """Whether its state is the latest one, so that relays may get it."""
        return not self.is_running or not (
            self.is_loaded or self.recovering_since is not None
        )

    @property
    def evidence_summary(self) -> EvidenceSummary:
        """Evidence against the version."""
        return self.state.evidence.summary()

    def applied_verdict(self, reports: Iterable[ExchangeMessage]) -> Phase | None:
        """Return the verdict that relays have applied already, or None.

        The previous lease holder may have sent it to them and not written it.
        """
        for _relay, tally in self._tallies(reports):
            if tally["phase"] != str(Phase.RUNNING):
                return Phase(tally["phase"])
        return None

    def has_old_answers(self, reports: Iterable[ExchangeMessage]) -> bool:
        """Return whether endpoints of another version gave answers."""
        return any(tally["old"] for _relay, tally in self._tallies(reports))

    def add_reports(
        self,
        reports: Iterable[ExchangeMessage],
        no_old_endpoints: bool,
        now: float,
    ) -> None:
        """Add what relays counted since their last reports.

        ``no_old_endpoints`` is as in `Evidence`.
        """
        old: dict[str, Counts] = {}
        new: dict[str, dict[str, Counts]] = {}
        for relay, tally in self._tallies(reports):
            counts = RelayCounts.from_message(tally)
            last = self.reported.get(relay, _NO_COUNTS)
            self.reported[relay] = counts
            self._add_requests(relay, counts, last)
            _add_answers(counts, last, old, new)
        if old or new:
            self.state.evidence.add(old, new, now, no_old_endpoints)

    def _tallies(
        self, reports: Iterable[ExchangeMessage]
    ) -> Iterable[tuple[str, TallyMessage]]:
        """Return the tallies of this order, by relay and incarnation."""
        order = self.state.order
        for report in reports:
            # A relay of the previous release doesn't report roll-outs.
            tally = report.get("rollouts", {}).get(order.service)
            if tally is not None and _order_of(tally, order.service).is_same(order):
                yield f"{report['node']}/{report['incarnation']}", tally

    def _add_requests(self, relay: str, counts: RelayCounts, last: RelayCounts) -> None:
        requests = {
            route: max(0, count - last.requests.get(route, 0))
            for route, count in counts.requests.items()
        }
        exposed = max(0, counts.exposed - last.exposed)
        if last is not _NO_COUNTS:
            self.state.add_requests(requests, exposed)
            return
        # A relay's first report to this lease holder covers all the time since the
        # order, so it gives no rate; the previous holder may have counted most of it.
        before = self.inherited.pop(relay, RequestTotals(0, 0))
        more = max(0, sum(requests.values()) - before.requests)
        self.state.requests += more
        self.state.exposed += max(0, exposed - before.exposed)

    def totals(self) -> dict[str, RequestTotals]:
        """Return what each relay counted since the order."""
        found = dict(self.inherited)
        for relay, counts in self.reported.items():
            found[relay] = RequestTotals(sum(counts.requests.values()), counts.exposed)
        return found

    def counts(self) -> dict[str, int]:
        """Return the counts so far, for log lines and reports."""
        state = self.state
        return {
            "requests": int(state.requests),
            "exposed": int(state.exposed),
            "answers": state.evidence.answers,
            "failed": state.evidence.failures,
        }


def _order_of(tally: TallyMessage, service: str) -> RolloutOrder:
    """Return the order that a relay's counts are for."""
    # Relays of the previous release report the revision only.
    to, duration = tally.get("to", ""), tally.get("duration", 0.0)
    return RolloutOrder(service, to, duration, tally["revision"])


def _add_answers(
    reported: RelayCounts,
    last: RelayCounts,
    old: dict[str, Counts],
    new: dict[str, dict[str, Counts]],
) -> None:
    """Add what one relay counted since its last report to ``old`` and ``new``."""
    for route, counts in reported.old.items():
        fresh = subtract_counts(counts, last.old.get(route, empty_counts()))
        old[route] = add_counts(old.get(route, empty_counts()), fresh)
    for route, by_endpoint in reported.new.items():
        known = last.new.get(route, {})
        for endpoint_id, counts in by_endpoint.items():
            fresh = subtract_counts(counts, known.get(endpoint_id, empty_counts()))
            if any(fresh):
                sums = new.setdefault(route, {})
                sums[endpoint_id] = add_counts(
                    sums.get(endpoint_id, empty_counts()), fresh
                )
