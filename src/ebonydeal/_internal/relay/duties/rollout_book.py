"""All roll-outs that the coordinator knows, and which versions are a service's own."""

from dataclasses import dataclass, field
from typing import Any

from ebonydeal._internal.models.rollouts import Phase, RolloutGate, RolloutOrder
from ebonydeal._internal.relay.duties.rollout_run import RolloutRun, Totals
from ebonydeal._internal.routing.rollout.course import (
    Complete,
    Course,
    RollBack,
    Terms,
    Verdict,
)


@dataclass
class RolloutBook:
    """Roll-outs by service.

    Attributes
    ----------
    terms : Terms
        Terms of verdict and exposure.
    runs : dict of str to RolloutRun
        Each service's last roll-out.
    barred : dict of str to set of str
        Versions that get nothing: rolled back, or given up midway.
    own : dict of str to set of str
        Versions that are a service's own: there before its order, or completed.
    """

    terms: Terms
    runs: dict[str, RolloutRun] = field(default_factory=dict)
    barred: dict[str, set[str]] = field(default_factory=dict)
    own: dict[str, set[str]] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget all."""
        self.runs.clear()
        self.barred.clear()
        self.own.clear()

    def barred_of(self, service: str) -> frozenset[str]:
        """Return the versions of a service that get nothing."""
        return frozenset(self.barred.get(service, ()))

    def is_news(self, order: RolloutOrder) -> bool:
        """Return whether an order isn't known yet."""
        known = self.runs.get(order.service)
        return known is None or known.course.order.revision < order.revision

    def begin(self, order: RolloutOrder, before: set[str], now: float) -> RolloutRun:
        """Begin an order; one under way that it overtakes is given up.

        ``before`` are the versions that were listed before it was given.
        """
        service = order.service
        known = self.runs.get(service)
        barred = self.barred.setdefault(service, set())
        if known is not None and known.is_running:
            barred.add(known.course.order.target_version)
        own = self.own.setdefault(service, set())
        if not own:
            own.update(before - {order.target_version} or before)
        # The operator's newest word goes before an older verdict.
        barred.discard(order.target_version)
        run = RolloutRun(Course(order, now + order.duration, self.terms))
        self.runs[service] = run
        if order.target_version in own:
            # Back to what the service runs: there is nothing to find out.
            run.course.phase = Phase.COMPLETED
            run.verdict = Complete(0)
        return run

    def end(self, run: RolloutRun, verdict: Verdict) -> None:
        """Make a verdict final."""
        run.verdict = verdict
        run.status_due = True
        order = run.course.order
        match verdict:
            case Complete():
                run.course.phase = Phase.COMPLETED
                self.own[order.service] = {order.target_version}
            case RollBack():
                run.course.phase = Phase.ROLLED_BACK
                self.barred.setdefault(order.service, set()).add(order.target_version)

    def gates(self) -> list[RolloutGate]:
        """Return what relays are told."""
        return [
            run.course.gate(run.verdict, tuple(sorted(self.barred_of(service))))
            for service, run in self.runs.items()
        ]

    # --- what outlasts a process -----------------------------------------------------
    def to_memory(self, ahead: float) -> dict[str, Any]:
        """Return what is kept; ``ahead`` is that of the store's clock, seconds."""
        runs = {}
        for service, run in self.runs.items():
            course = run.course
            runs[service] = {
                "to": course.order.target_version,
                "duration": course.order.duration,
                "revision": course.order.revision,
                "until": round(course.until + ahead, 3),
                "phase": str(course.phase),
                "spent": {n: list(t) for n, t in run.totals().items()}
                if run.is_running
                else {},
            }
        return {
            "runs": runs,
            "barred": {s: sorted(v) for s, v in self.barred.items()},
            "own": {s: sorted(v) for s, v in self.own.items()},
        }

    def take_memory(self, memory: Any, ahead: float, now: float) -> None:
        """Take what the holder before kept.

        Raises ValueError, TypeError, KeyError or AttributeError on garbage.
        """
        for service, kept in memory["runs"].items():
            order = RolloutOrder(
                str(service),
                str(kept["to"]),
                float(kept["duration"]),
                int(kept["revision"]),
            )
            # By the store's clock, which all holders read alike.
            until = min(float(kept["until"]) - ahead, now + order.duration)
            run = RolloutRun(Course(order, until, self.terms), status_due=False)
            run.course.phase = Phase(kept["phase"])
            run.kept = {
                str(relay): Totals(int(counts[0]), int(counts[1]))
                for relay, counts in kept["spent"].items()
            }
            run.course.requests = sum(t.requests for t in run.kept.values())
            run.course.exposed = sum(t.exposed for t in run.kept.values())
            self.runs[order.service] = run
        for service, versions in memory["barred"].items():
            self.barred[str(service)] = set(map(str, versions))
        for service, versions in memory["own"].items():
            self.own[str(service)] = set(map(str, versions))
