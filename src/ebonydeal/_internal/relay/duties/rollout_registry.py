"""All roll-outs that the coordinator knows, and the current versions of services."""

from dataclasses import dataclass, field
from typing import Any

from ebonydeal._internal.models.rollouts import Phase, RolloutGate, RolloutOrder
from ebonydeal._internal.relay.duties.rollout_run import RequestTotals, RolloutRun
from ebonydeal._internal.routing.rollout.rollout_state import (
    Complete,
    RollBack,
    RolloutConfig,
    RolloutState,
    Verdict,
)


@dataclass
class RolloutRegistry:
    """All roll-outs, by service.

    Attributes
    ----------
    config : RolloutConfig
        Thresholds of the verdict and plan of the exposure.
    runs : dict of str to RolloutRun
        Each service's last roll-out.
    barred : dict of str to set of str
        Versions that get no requests: rolled back, or replaced by a newer order.
    current : dict of str to set of str
        A service's current versions: listed before its order, or completed.
    """

    config: RolloutConfig
    runs: dict[str, RolloutRun] = field(default_factory=dict)
    barred: dict[str, set[str]] = field(default_factory=dict)
    current: dict[str, set[str]] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget all roll-outs."""
        self.runs.clear()
        self.barred.clear()
        self.current.clear()

    def barred_versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service that get no requests."""
        return frozenset(self.barred.get(service, ()))

    def is_new(self, order: RolloutOrder) -> bool:
        """Return whether an order has no roll-out yet."""
        known = self.runs.get(order.service)
        return known is None or order.replaces(known.state.order)

    def adopt(self, order: RolloutOrder) -> bool:
        """Take the version under which a restored store lists a known order.

        Returns whether the known version was an older one.
        """
        run = self.runs[order.service]
        if order.revision <= run.state.order.revision:
            return False
        run.state.order = order
        return True

    def start(self, order: RolloutOrder, before: set[str], now: float) -> RolloutRun:
        """Start a roll-out; one under way for the same service is abandoned.

        ``before`` are the versions that were listed before the order.
        """
        service = order.service
        known = self.runs.get(service)
        barred = self.barred.setdefault(service, set())
        if known is not None and known.is_running:
            barred.add(known.state.order.target_version)
        current = self.current.setdefault(service, set())
        if not current:
            current.update(before - {order.target_version} or before)
        # A newer order overrides an older verdict.
        barred.discard(order.target_version)
        run = RolloutRun(RolloutState(order, now + order.duration, self.config))
        self.runs[service] = run
        if order.target_version in current:
            # The service runs this version already: there is nothing to test.
            run.state.phase = Phase.COMPLETED
            run.verdict = Complete(0)
        return run

    def finish(self, run: RolloutRun, verdict: Verdict) -> None:
        """Set a final verdict."""
        run.verdict = verdict
        run.status_due = True
        order = run.state.order
        match verdict:
            case Complete():
                run.state.phase = Phase.COMPLETED
                self.current[order.service] = {order.target_version}
            case RollBack():
                run.state.phase = Phase.ROLLED_BACK
                self.barred.setdefault(order.service, set()).add(order.target_version)

    def gates(self) -> list[RolloutGate]:
        """Return the gates that relays get."""
        return [
            run.state.gate(run.verdict, tuple(sorted(self.barred_versions(service))))
            for service, run in self.runs.items()
            if run.is_up_to_date
        ]

    # --- persistence -----------------------------------------------------------------
    def to_stored(self, clock_ahead_s: float) -> dict[str, Any]:
        """Return what is persisted; the store's clock is ahead by ``clock_ahead_s``."""
        runs = {}
        for service, run in self.runs.items():
            state = run.state
            runs[service] = {
                "to": state.order.target_version,
                "duration": state.order.duration,
                "revision": state.order.revision,
                "until": round(state.deadline + clock_ahead_s, 3),
                "phase": str(state.phase),
                "spent": {n: list(t) for n, t in run.totals().items()}
                if run.is_running
                else {},
            }
        return {
            "runs": runs,
            "barred": {s: sorted(v) for s, v in self.barred.items()},
            "own": {s: sorted(v) for s, v in self.current.items()},
        }

    def load_stored(self, stored: Any, clock_ahead_s: float, now: float) -> None:
        """Load what the previous lease holder persisted.

        Raises ValueError, TypeError, KeyError or AttributeError for an invalid row.
        """
        for service, item in stored["runs"].items():
            order = RolloutOrder(
                str(service),
                str(item["to"]),
                float(item["duration"]),
                int(item["revision"]),
            )
            # The stored deadline is in the store's clock, which all relays share.
            deadline = min(float(item["until"]) - clock_ahead_s, now + order.duration)
            run = RolloutRun(
                RolloutState(order, deadline, self.config),
                status_due=False,
                is_loaded=True,
            )
            run.state.phase = Phase(item["phase"])
            run.inherited = {
                str(relay): RequestTotals(int(counts[0]), int(counts[1]))
                for relay, counts in item["spent"].items()
            }
            run.state.requests = sum(t.requests for t in run.inherited.values())
            run.state.exposed = sum(t.exposed for t in run.inherited.values())
            self.runs[order.service] = run
        for service, versions in stored["barred"].items():
            self.barred[str(service)] = set(map(str, versions))
        for service, versions in stored["own"].items():
            self.current[str(service)] = set(map(str, versions))
