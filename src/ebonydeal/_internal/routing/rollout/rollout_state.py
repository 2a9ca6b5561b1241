"""The state of one roll-out, and the decisions from its order to its verdict."""

from dataclasses import dataclass
from typing import NamedTuple

from ebonydeal._internal.models.rollouts import Phase, RolloutGate, RolloutOrder
from ebonydeal._internal.routing.rollout.evidence import (
    Evidence,
    EvidenceSummary,
    LikelihoodTest,
    MixtureTest,
)
from ebonydeal._internal.routing.rollout.exposure import (
    Exposure,
    ExposureBound,
    ExposurePlan,
    LoadedPlan,
    allowed_rate,
    last_stage_s,
)

# Maximum last stage: requests in flight on old endpoints end within it.
_MAX_LAST_STAGE_S = 3.0
# A last stage under way may be longer than the bound allows by this factor.
_LAST_STAGE_TOLERANCE = 2.0
# Reserved between the verdict that a roll-out is complete and its deadline, for a slow
# store.
_WRITE_RESERVE_S = 0.35
# All requests go to the new version for at least this long before it is called good.
_MIN_LAST_STAGE_S = 0.4
# With fewer new endpoints than this fraction of the old ones, the new version can't
# serve all requests.
_MIN_ENDPOINTS_FRACTION = 0.6
# A doubt may last for this long after the deadline.
_MAX_DOUBT_AFTER_DEADLINE_S = 4.0
# Answers after which a version without evidence against it may get all requests; a
# service with few requests is observed for this fraction of its order's time instead.
_MIN_ANSWERS = 15
_MIN_OBSERVED_FRACTION = 0.5
# `_MIN_LAST_STAGE_S` after the deadline, where a longer observation costs nothing.
_MIN_LATE_LAST_STAGE_S = 1.5
# Time over which the rates of routes are averaged.
_RATE_WINDOW_S = 2.0
_RATE_UPDATE_INTERVAL_S = 0.2


class RolloutConfig(NamedTuple):
    """Thresholds of the verdict, as log-likelihood ratios, and plan of the exposure.

    Attributes
    ----------
    bad : float
        From here on a version is bad; one in some thousands of good ones gets there.
    others_bad : float
        Minimum for the endpoints other than the worst, so that a single faulty endpoint
        doesn't make its version bad.
    doubt : float
        From here on a version isn't called good yet.
    """

    bad: float = 7.0
    others_bad: float = 2.0
    doubt: float = 2.5
    bound: ExposureBound = ExposureBound()
    plan: ExposurePlan = LoadedPlan()


@dataclass(frozen=True)
class Continue:
    """The roll-out goes on, with these shares of requests by route for the canaries.

    ``full`` says that the new version gets all requests.
    """

    shares: dict[str, float]
    canaries: tuple[str, ...]
    full: bool = False


@dataclass(frozen=True)
class Complete:
    """All requests go to the new version; ``old_in_flight`` still run on old ones."""

    old_in_flight: int


@dataclass(frozen=True)
class RollBack:
    """No more requests go to the new version."""

    reason: str
    evidence: EvidenceSummary


Verdict = Continue | Complete | RollBack


class ServiceEndpoints(NamedTuple):
    """The endpoints of a service that may get requests.

    ``old`` and ``new`` are ids; ``old_in_flight`` requests run on old ones.
    """

    old: tuple[str, ...]
    new: tuple[str, ...]
    old_in_flight: int = 0


class RolloutState:
    """One roll-out.

    Parameters
    ----------
    order : RolloutOrder
        What the operator ordered.
    deadline : float
        When it must be decided, monotonic seconds.
    config : RolloutConfig, optional
        Thresholds of the verdict and plan of the exposure.
    test : LikelihoodTest, optional
        Turns answers into evidence.
    """

    def __init__(
        self,
        order: RolloutOrder,
        deadline: float,
        config: RolloutConfig | None = None,
        test: LikelihoodTest | None = None,
    ) -> None:
        self.order = order
        self.deadline = deadline
        self.config = config or RolloutConfig()
        self.evidence = Evidence(test or MixtureTest())
        self.phase = Phase.RUNNING
        self.requests = 0.0
        self.exposed = 0.0
        # Since when all requests go to the new version; None before.
        self.full_since: float | None = None
        # Since when the new version has endpoints; None before.
        self._new_since: float | None = None
        self._rates: dict[str, float] = {}
        # Requests by route since the last update of the rates.
        self._new_requests: dict[str, int] = {}
        self._rates_updated_at: float | None = None

    def add_requests(self, by_route: dict[str, int], exposed: int) -> None:
        """Add reported requests for the service, by route.

        ``exposed`` of them went to the new version.
        """
        self.requests += sum(by_route.values())
        self.exposed += exposed
        for route, count in by_route.items():
            self._new_requests[route] = self._new_requests.get(route, 0) + count

    def _update_rates(self, now: float) -> None:
        if self._rates_updated_at is None:
            self._rates_updated_at = now
            return
        elapsed = now - self._rates_updated_at
        if elapsed < _RATE_UPDATE_INTERVAL_S:
            return
        weight = min(1.0, elapsed / _RATE_WINDOW_S)
        for route in self._rates.keys() | self._new_requests.keys():
            rate = self._new_requests.get(route, 0) / elapsed
            known = self._rates.get(route, rate)
            self._rates[route] = known + (rate - known) * weight
        self._new_requests.clear()
        self._rates_updated_at = now

    def decide(self, endpoints: ServiceEndpoints, lag: float, now: float) -> Verdict:
        """Return what to do now; `Complete` and `RollBack` are final.

        ``lag`` is as in `Exposure`.
        """
        self._update_rates(now)
        evidence = self.evidence.summary()
        if self._is_bad(evidence, endpoints) or self._stays_in_doubt(evidence, now):
            self.phase = Phase.ROLLED_BACK
            return RollBack(_reason(evidence), evidence)
        if not endpoints.new:
            self.full_since = self._new_since = None
            return Continue({}, ())
        if self._new_since is None:
            self._new_since = now
        time_left = self.deadline - now
        exposure = Exposure(
            requests=self.requests,
            exposed=self.exposed,
            rates=dict(self._rates),
            time_left=time_left,
            lag=lag,
            elapsed=self.order.duration - time_left,
            in_doubt=self._is_in_doubt(evidence),
        )
        if self._may_get_all(endpoints, exposure):
            if self.full_since is None:
                self.full_since = now
            if self._is_complete(endpoints, now):
                self.phase = Phase.COMPLETED
                return Complete(endpoints.old_in_flight)
            return Continue(dict.fromkeys(self._rates, 1.0), endpoints.new, full=True)
        self.full_since = None
        if not endpoints.old:
            return Continue(self._shares_without_old(exposure), endpoints.new)
        traffic = self.config.plan.canary_traffic(
            self.config.bound,
            exposure,
            len(endpoints.old),
            self._canary_order(endpoints, evidence),
        )
        shares = {route: round(share, 4) for route, share in traffic.shares.items()}
        return Continue(shares, traffic.canaries)

    def _shares_without_old(self, exposure: Exposure) -> dict[str, float]:
        """Return the shares while no old endpoint is left.

        No other endpoint can serve, so the new version gets all requests once it gave
        enough good answers. Until then the bound limits what a bad version gets, and
        other requests are refused.
        """
        if self.evidence.answers >= _MIN_ANSWERS and not exposure.in_doubt:
            return dict.fromkeys(exposure.rates, 1.0)
        share = allowed_rate(self.config.bound, exposure) / max(1.0, exposure.rate)
        return dict.fromkeys(exposure.rates, round(min(1.0, share), 4))

    def _is_bad(self, evidence: EvidenceSummary, endpoints: ServiceEndpoints) -> bool:
        """Return whether there is enough evidence against the version itself."""
        if evidence.total < self.config.bad:
            return False
        # A single endpoint can't be compared with others of its version.
        others = [e for e in endpoints.new if e != evidence.worst_endpoint]
        return not others or evidence.total_without_worst >= self.config.others_bad

    def _stays_in_doubt(self, evidence: EvidenceSummary, now: float) -> bool:
        """Return whether a doubt lasts too long, so that the old version stays."""
        return now - self.deadline > _MAX_DOUBT_AFTER_DEADLINE_S and self._is_in_doubt(
            evidence
        )

    def _is_in_doubt(self, evidence: EvidenceSummary) -> bool:
        """Return whether there is some evidence against the version itself.

        A single faulty endpoint is no such evidence once the others gave enough good
        answers.
        """
        if evidence.total < self.config.doubt:
            return False
        return (
            evidence.other_answers < _MIN_ANSWERS
            or evidence.total_without_worst >= self.config.doubt / 2.0
        )

    def _may_get_all(self, endpoints: ServiceEndpoints, exposure: Exposure) -> bool:
        """Return whether all requests go to the new version now."""
        if len(endpoints.new) < _MIN_ENDPOINTS_FRACTION * len(endpoints.old):
            return False
        if exposure.in_doubt or not self._is_observed_enough(exposure):
            return False
        if exposure.time_left <= 0.0:
            return True
        length = min(_MAX_LAST_STAGE_S, last_stage_s(self.config.bound, exposure))
        if self.full_since is not None:
            # More requests than expected shorten the length: a stage under way isn't
            # cancelled at once.
            length *= _LAST_STAGE_TOLERANCE
        return exposure.time_left <= length

    def _is_observed_enough(self, exposure: Exposure) -> bool:
        """Return whether enough was seen of the version to give it all requests."""
        if self.evidence.answers >= _MIN_ANSWERS:
            return True
        assert self._new_since is not None
        observed = self.deadline - exposure.time_left - self._new_since
        return observed >= _MIN_OBSERVED_FRACTION * self.order.duration

    def _is_complete(self, endpoints: ServiceEndpoints, now: float) -> bool:
        """Return whether the old endpoints may stop."""
        assert self.full_since is not None
        time_left = self.deadline - now
        if now - self.full_since < (
            _MIN_LAST_STAGE_S if time_left > 0.0 else _MIN_LATE_LAST_STAGE_S
        ):
            return False
        # Requests after the verdict count as exposed, too, so it comes no sooner than
        # needed.
        return time_left <= _WRITE_RESERVE_S or (
            endpoints.old_in_flight == 0 and time_left <= 2.0 * _WRITE_RESERVE_S
        )

    def _canary_order(
        self, endpoints: ServiceEndpoints, evidence: EvidenceSummary
    ) -> tuple[str, ...]:
        """Return the new endpoints in the order in which they become canaries.

        One that seems faulty comes last: the others show whether it is the version.
        """
        faulty = evidence.worst_endpoint if evidence.total >= self.config.doubt else ""
        return tuple(sorted(endpoints.new, key=lambda e: (e == faulty, e)))

    def gate(self, verdict: Verdict, barred: tuple[str, ...]) -> RolloutGate:
        """Return the gate that relays get."""
        order = self.order
        shares: dict[str, float] = {}
        canaries: tuple[str, ...] = ()
        match verdict:
            case Continue():
                shares, canaries = verdict.shares, verdict.canaries
        return RolloutGate(
            order.service,
            order.target_version,
            order.revision,
            self.phase,
            shares,
            canaries,
            barred,
            order.duration,
        )


def _reason(evidence: EvidenceSummary) -> str:
    return f"route {evidence.worst_route or 'none'}: evidence {evidence.total:.1f}"
