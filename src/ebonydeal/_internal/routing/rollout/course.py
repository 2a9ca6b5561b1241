"""One roll-out from its order to its verdict: the decision, pure."""

from dataclasses import dataclass
from typing import NamedTuple

from ebonydeal._internal.models.rollouts import Phase, RolloutGate, RolloutOrder
from ebonydeal._internal.routing.rollout.evidence import (
    Evidence,
    Mixture,
    Standing,
    Test,
)
from ebonydeal._internal.routing.rollout.exposure import (
    Bound,
    Loaded,
    Plan,
    Spent,
    last_step,
    room,
)

# Longest last step: what runs on old endpoints ends in it, seconds.
_LONGEST_STEP_S = 3.0
# By so much the last step may prove too long before it is taken back.
_STEP_SLACK = 2.0
# Kept between the word that a roll-out is complete and its end, seconds: a slow store.
_WRITE_S = 0.35
# So long all requests go to the new version before it may be called good, seconds.
_LEAST_FULL_S = 0.4
# With less endpoints than this part of the old ones the new version can't carry all.
_ENOUGH = 0.6
# So long after the order's end a doubt may last, seconds.
_DOUBT_S = 4.0
# Answers after which a version that nothing speaks against may get all requests; a
# service that is asked seldom is watched for this part of its order's time instead.
_PROVED = 15
_WATCHED = 0.5
# As `_LEAST_FULL_S`, once the order's time is over: then judging longer costs nothing.
_LATE_FULL_S = 1.5
# Time over which the rates of routes are averaged, seconds.
_RATE_WINDOW_S = 2.0
_RATE_STEP_S = 0.2


class Terms(NamedTuple):
    """Terms of the verdict, natural logarithms of likelihood ratios.

    Attributes
    ----------
    bad : float
        From here on a version is bad: one in some thousands of good ones gets there.
    alike : float
        What the other endpoints must say, so that it isn't one that is ill.
    doubt : float
        From here on a version isn't called good yet.
    """

    bad: float = 7.0
    alike: float = 2.0
    doubt: float = 2.5
    bound: Bound = Bound()
    plan: Plan = Loaded()


@dataclass(frozen=True)
class Continue:
    """Go on, with these parts of the routes' requests at these endpoints."""

    shares: dict[str, float]
    canaries: tuple[str, ...]
    full: bool = False


@dataclass(frozen=True)
class Complete:
    """All requests go to the new version; ``cut`` still run on old endpoints."""

    cut: int


@dataclass(frozen=True)
class RollBack:
    """Nothing goes to the new version any more."""

    reason: str
    standing: Standing


Verdict = Continue | Complete | RollBack


class Fleet(NamedTuple):
    """The endpoints of a service that may get requests.

    ``old`` and ``new`` are ids; ``old_running`` requests at work on old ones.
    """

    old: tuple[str, ...]
    new: tuple[str, ...]
    old_running: int = 0


class Course:
    """One roll-out.

    Parameters
    ----------
    order : RolloutOrder
        What the operator ordered.
    until : float
        When it is to be decided, monotonic seconds.
    terms : Terms, optional
        Terms of verdict and exposure.
    test : Test, optional
        What turns answers into evidence.
    """

    def __init__(
        self,
        order: RolloutOrder,
        until: float,
        terms: Terms | None = None,
        test: Test | None = None,
    ) -> None:
        self.order = order
        self.until = until
        self.terms = terms or Terms()
        self.evidence = Evidence(test or Mixture())
        self.phase = Phase.RUNNING
        self.requests = 0.0
        self.exposed = 0.0
        # Since when all requests go to the new version; None before.
        self.full_since: float | None = None
        # Since when the new version has endpoints; None before.
        self._new_since: float | None = None
        self._rates: dict[str, float] = {}
        self._unrated: dict[str, int] = {}
        self._rated_at: float | None = None

    def saw_requests(self, by_route: dict[str, int], exposed: int) -> None:
        """Take requests for the service that relays told of, by route.

        ``exposed`` of them went to the new version.
        """
        self.requests += sum(by_route.values())
        self.exposed += exposed
        for route, count in by_route.items():
            self._unrated[route] = self._unrated.get(route, 0) + count

    def _rate(self, now: float) -> None:
        """Bring the routes' rates up to date."""
        if self._rated_at is None:
            self._rated_at = now
            return
        passed = now - self._rated_at
        if passed < _RATE_STEP_S:
            return
        weight = min(1.0, passed / _RATE_WINDOW_S)
        for route in self._rates.keys() | self._unrated.keys():
            rate = self._unrated.get(route, 0) / passed
            known = self._rates.get(route, rate)
            self._rates[route] = known + (rate - known) * weight
        self._unrated.clear()
        self._rated_at = now

    def decide(self, fleet: Fleet, lag: float, now: float) -> Verdict:
        """Return what is to be done now; a verdict is final.

        ``lag`` is as in `Spent`.
        """
        self._rate(now)
        standing = self.evidence.standing()
        if self._is_bad(standing, fleet) or self._stays_in_doubt(standing, now):
            self.phase = Phase.ROLLED_BACK
            return RollBack(_reason(standing), standing)
        if not fleet.new:
            self.full_since = self._new_since = None
            return Continue({}, ())
        if self._new_since is None:
            self._new_since = now
        left = self.until - now
        spent = Spent(
            requests=self.requests,
            exposed=self.exposed,
            rates=dict(self._rates),
            left=left,
            lag=lag,
            elapsed=self.order.duration - left,
            doubt=self._doubts(standing),
        )
        if self._is_full(fleet, spent):
            if self.full_since is None:
                self.full_since = now
            if self._is_complete(fleet, now):
                self.phase = Phase.COMPLETED
                return Complete(fleet.old_running)
            return Continue(dict.fromkeys(self._rates, 1.0), fleet.new, full=True)
        self.full_since = None
        if not fleet.old:
            return Continue(self._alone(spent), fleet.new)
        early = self.terms.plan.early(
            self.terms.bound,
            spent,
            len(fleet.old),
            self._ranked(fleet, standing),
        )
        shares = {route: round(share, 4) for route, share in early.shares.items()}
        return Continue(shares, early.canaries)

    def _alone(self, spent: Spent) -> dict[str, float]:
        """Return the shares while no old endpoint is left.

        Nobody else can serve, so all requests go over once some were answered well;
        until then the bound limits what a bad version gets, and the rest is refused.
        """
        if self.evidence.answers >= _PROVED and not spent.doubt:
            return dict.fromkeys(spent.rates, 1.0)
        part = room(self.terms.bound, spent) / max(1.0, spent.rate)
        return dict.fromkeys(spent.rates, round(min(1.0, part), 4))

    def _is_bad(self, standing: Standing, fleet: Fleet) -> bool:
        """Return whether enough speaks against the version itself."""
        if standing.total < self.terms.bad:
            return False
        # Where no other endpoint can be asked, the one that there is speaks for all.
        others = [e for e in fleet.new if e != standing.loudest]
        return not others or standing.without >= self.terms.alike

    def _stays_in_doubt(self, standing: Standing, now: float) -> bool:
        """Return whether a doubt outlasts the order: then the old version stays."""
        return now - self.until > _DOUBT_S and self._doubts(standing)

    def _doubts(self, standing: Standing) -> bool:
        """Return whether something speaks against the version itself.

        One ill endpoint doesn't, once the others answered well.
        """
        if standing.total < self.terms.doubt:
            return False
        return standing.others < _PROVED or standing.without >= self.terms.doubt / 2.0

    def _is_full(self, fleet: Fleet, spent: Spent) -> bool:
        """Return whether all requests go to the new version now."""
        if len(fleet.new) < _ENOUGH * len(fleet.old):
            return False
        if spent.doubt or not self._is_judged(spent):
            return False
        if spent.left <= 0.0:
            return True
        step = min(_LONGEST_STEP_S, last_step(self.terms.bound, spent))
        if self.full_since is not None:
            # More came than was expected: the rest waits until the bound is over.
            step *= _STEP_SLACK
        return spent.left <= step

    def _is_judged(self, spent: Spent) -> bool:
        """Return whether enough was seen of the version to give it all requests."""
        if self.evidence.answers >= _PROVED:
            return True
        assert self._new_since is not None
        watched = self.until - spent.left - self._new_since
        return watched >= _WATCHED * self.order.duration

    def _is_complete(self, fleet: Fleet, now: float) -> bool:
        """Return whether the old endpoints may stop."""
        assert self.full_since is not None
        left = self.until - now
        if now - self.full_since < (_LEAST_FULL_S if left > 0.0 else _LATE_FULL_S):
            return False
        # What comes after the word counts as exposed, too: no sooner than needed.
        return left <= _WRITE_S or (fleet.old_running == 0 and left <= 2.0 * _WRITE_S)

    def _ranked(self, fleet: Fleet, standing: Standing) -> tuple[str, ...]:
        """Return the new endpoints, those first that get the first requests.

        One that seems ill goes last: others tell whether it is the version.
        """
        ill = standing.loudest if standing.total >= self.terms.doubt else ""
        return tuple(sorted(fleet.new, key=lambda e: (e == ill, e)))

    def gate(self, verdict: Verdict, barred: tuple[str, ...]) -> RolloutGate:
        """Return what relays are told."""
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
        )


def _reason(standing: Standing) -> str:
    return f"route {standing.route or 'none'}: evidence {standing.total:.1f}"
