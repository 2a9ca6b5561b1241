"""Retry budgets: whether a failed attempt is followed by another, and when.

Every first send adds a fraction of a retry to its deployment's budget, and a retry
costs a full one. So a deployment that fails completely gets at most ``1 + budget``
sends per request, plus the few saved earlier, however many callers there are.
"""

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.settings.routing import RetrySettings

# Failures that prove that the request was not run.
_PROVEN_NOT_RUN = frozenset(
    {ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_REFUSED, ErrorKind.NO_ENDPOINT}
)
_RETRYABLE = _PROVEN_NOT_RUN | {
    ErrorKind.ENDPOINT_FAILED,
    ErrorKind.ENDPOINT_GARBAGE,
    ErrorKind.ENDPOINT_STALLED,
}
_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 30.0
_RATE_WINDOW_S = 10.0


class Failure(NamedTuple):
    """A failed attempt.

    Attributes
    ----------
    kind : ErrorKind
        How it failed.
    deployment : str
        The deployment whose budget applies.
    idempotent : bool
        Whether running the request twice is harmless.
    may_have_run : bool
        Whether an earlier attempt of the request may have run.
    first_byte_received : bool
        Whether a byte of the answer arrived. After that only a stream may be resumed,
        and a call that is not idempotent is not retried.
    deadline : float
        Wall clock seconds; 0.0 means none.
    min_attempt_s : float
        Time that another attempt needs at least, seconds.
    is_paid : bool
        Whether the retry was taken from the budget before.
    """

    kind: ErrorKind
    deployment: str
    idempotent: bool
    may_have_run: bool = False
    first_byte_received: bool = False
    deadline: float = 0.0
    min_attempt_s: float = 0.0
    is_paid: bool = False


@dataclass(frozen=True)
class Retry:
    """Retry after ``delay_s`` seconds, at another endpoint."""

    delay_s: float


@dataclass(frozen=True)
class GiveUp:
    """Answer the caller now, with an error of this kind.

    ``lacks_budget`` says that only the retry budget prevents another attempt.
    """

    kind: ErrorKind
    retry_after: float | None
    reason: str
    lacks_budget: bool = False


@dataclass
class _Budget:
    """Available retries and hedges of one deployment, and its rate of first sends."""

    retries: float
    hedges: float
    rate: float = 0.0
    at: float = 0.0

    def add_send(self, now: float, cfg: RetrySettings) -> None:
        """Add the share of one first send."""
        self.retries = min(cfg.budget_cap, self.retries + cfg.budget)
        self.hedges = min(cfg.budget_cap, self.hedges + cfg.hedge_budget)
        decay = max(0.0, 1.0 - max(0.0, now - self.at) / _RATE_WINDOW_S)
        self.rate = self.rate * decay + 1.0 / _RATE_WINDOW_S
        self.at = now


class RetryPolicy:
    """Retry budgets of all deployments at one gateway, relay or journal owner.

    Parameters
    ----------
    cfg : RetrySettings
        Budgets and backoff.
    rng : random.Random
        Draws the jitter.
    initial_retries : float
        Retries that a deployment has before its first send, since the very first
        connection may be refused.
    """

    def __init__(
        self,
        cfg: RetrySettings,
        rng: Random,
        initial_retries: float = 1.0,
    ) -> None:
        self._cfg = cfg
        self._rng = rng
        self._initial_retries = initial_retries
        self._budgets: dict[str, _Budget] = {}

    @classmethod
    def from_config(cls, cfg: RetrySettings, rng: Random) -> "RetryPolicy":
        """Build from settings."""
        return cls(cfg, rng)

    def configure(self, cfg: RetrySettings) -> None:
        """Replace the settings, for example when the number of relays changes."""
        self._cfg = cfg

    def add_initial_retries(self, retries: float) -> None:
        """Give each deployment more retries, now or at its first send."""
        self._initial_retries += retries
        for budget in self._budgets.values():
            budget.retries = min(self._cfg.budget_cap, budget.retries + retries)

    def record_first_send(self, deployment: str, now: float) -> None:
        """Count a request's first send; to be called once per request."""
        self._budget(deployment).add_send(now, self._cfg)

    def next_attempt(
        self, failure: Failure, attempt: int, now: float
    ) -> Retry | GiveUp:
        """Decide after attempt number ``attempt`` (from 1) failed."""
        cfg = self._cfg
        if not self._may_retry(failure):
            return GiveUp(self._final_kind(failure), None, "must not be retried")
        if attempt >= cfg.attempts:
            return self._give_up(failure, now, "no attempts left")
        delay = self._backoff(attempt)
        if failure.deadline and now + delay + failure.min_attempt_s >= failure.deadline:
            return self._give_up(failure, now, "deadline too close for a retry")
        if not failure.is_paid and not self.try_spend(failure.deployment):
            reason = "retry budget exhausted"
            return self._give_up(failure, now, reason, lacks_budget=True)
        return Retry(delay)

    def can_retry(self, deployment: str, attempt: int) -> bool:
        """Return whether another attempt could follow number ``attempt`` now."""
        affordable = self._budget(deployment).retries >= 1.0
        return affordable and attempt < self._cfg.attempts

    def try_spend(self, deployment: str) -> bool:
        """Take a further send from the budget although no send failed."""
        budget = self._budget(deployment)
        if budget.retries < 1.0:
            return False
        budget.retries -= 1.0
        return True

    def try_advance(self, deployment: str) -> bool:
        """Take a further send that the budget may not have earned yet.

        The budget owes one at most, which is earned before anything else is spent.
        """
        budget = self._budget(deployment)
        if budget.retries < 0.0:
            return False
        budget.retries -= 1.0
        return True

    def refund(self, deployment: str) -> None:
        """Return a send that was taken in advance and not made."""
        budget = self._budget(deployment)
        budget.retries = min(self._cfg.budget_cap, budget.retries + 1.0)

    def try_hedge(
        self, deployment: str, idempotent: bool, deadline: float, now: float
    ) -> bool:
        """Take a hedge for a short idempotent look-up from the budget."""
        if not idempotent or (deadline and now >= deadline):
            return False
        budget = self._budget(deployment)
        if budget.hedges < 1.0 or budget.retries < 1.0:
            return False
        budget.hedges -= 1.0
        budget.retries -= 1.0
        return True

    def available_retries(self, deployment: str) -> float:
        """Return the retries that a deployment's budget allows now."""
        return self._budget(deployment).retries

    def _budget(self, deployment: str) -> _Budget:
        if deployment not in self._budgets:
            initial = min(self._initial_retries, self._cfg.budget_cap)
            self._budgets[deployment] = _Budget(initial, 0.0)
        return self._budgets[deployment]

    def _may_retry(self, failure: Failure) -> bool:
        """Return whether another attempt is harmless and can help."""
        if failure.kind in _PROVEN_NOT_RUN and not failure.first_byte_received:
            return True
        return failure.idempotent and failure.kind in _RETRYABLE

    def _backoff(self, attempt: int) -> float:
        """Return a delay drawn uniformly between 0 and twice the mean."""
        cfg = self._cfg
        mean = min(cfg.backoff_max / 2, cfg.backoff * 2 ** (attempt - 1))
        return self._rng.uniform(0.0, 2.0 * mean)

    def _final_kind(self, failure: Failure) -> ErrorKind:
        """Return the error kind for the caller."""
        proven = failure.kind in _PROVEN_NOT_RUN and not failure.first_byte_received
        if proven and not failure.may_have_run:
            return failure.kind
        if not failure.idempotent and failure.kind in _RETRYABLE:
            return ErrorKind.OUTCOME_UNKNOWN
        return failure.kind

    def _give_up(
        self, failure: Failure, now: float, reason: str, lacks_budget: bool = False
    ) -> GiveUp:
        """Give up; the caller may retry when the budget allows a retry again."""
        kind = self._final_kind(failure)
        if failure.may_have_run and kind in _PROVEN_NOT_RUN:
            kind = ErrorKind.RETRY_BUDGET
        wait = self._retry_after(failure.deployment, now)
        return GiveUp(kind, wait, reason, lacks_budget)

    def _retry_after(self, deployment: str, now: float) -> float:
        """Return the seconds until the budget allows a retry again, with jitter."""
        budget = self._budget(deployment)
        missing = max(0.0, 1.0 - budget.retries)
        age = max(0.0, now - budget.at)
        rate = budget.rate * max(0.0, 1.0 - age / _RATE_WINDOW_S) * self._cfg.budget
        wait = missing / rate if rate > 0.0 else _MIN_RETRY_AFTER_S
        wait = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait))
        return wait * self._rng.uniform(1.0, 1.5)
