"""Whether a failed try is followed by another, and when.

Every first send earns a deployment part of a retry; a retry costs a whole one.
So a deployment that fails completely sees at most ``1 + budget`` sends a
request (and the few saved up before), however many callers there are.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.settings.routing import RetrySettings

_PROOF = frozenset(
    {ErrorKind.CONNECT_FAILED, ErrorKind.ENDPOINT_REFUSED, ErrorKind.NO_ENDPOINT}
)
_REPEATABLE = _PROOF | {
    ErrorKind.ENDPOINT_FAILED,
    ErrorKind.ENDPOINT_GARBAGE,
    ErrorKind.ENDPOINT_STALLED,
}
_RETRY_AFTER_MIN = 1.0
_RETRY_AFTER_MAX = 30.0
_RATE_WINDOW = 10.0


class Failure(NamedTuple):
    """A try that failed.

    Attributes
    ----------
    kind : ErrorKind
        How.
    deployment : str
        Whose budget counts.
    idempotent : bool
        Whether running the request twice is harmless.
    may_have_run : bool
        Whether an earlier try of the request may have run.
    first_byte_received : bool
        Whether a byte of the answer came; then only a stream's own resume may
        go on, and a call that is not idempotent ends here.
    deadline : float
        Wall clock seconds; 0.0 means none.
    min_attempt_s : float
        Least time a further try needs to be of use, seconds.
    """

    kind: ErrorKind
    deployment: str
    idempotent: bool
    may_have_run: bool = False
    first_byte_received: bool = False
    deadline: float = 0.0
    min_attempt_s: float = 0.0


@dataclass(frozen=True)
class Retry:
    """Try again after ``delay_s`` seconds, on another endpoint."""

    delay_s: float


@dataclass(frozen=True)
class GiveUp:
    """Answer the caller now, with this kind."""

    kind: ErrorKind
    retry_after: float | None
    reason: str


@dataclass
class _Budget:
    """Saved retries and hedges of one deployment."""

    retries: float
    hedges: float
    rate: float = 0.0
    at: float = 0.0

    def earn(self, now: float, cfg: RetrySettings) -> None:
        """Count one first send."""
        self.retries = min(cfg.budget_cap, self.retries + cfg.budget)
        self.hedges = min(cfg.budget_cap, self.hedges + cfg.hedge_budget)
        kept = max(0.0, 1.0 - max(0.0, now - self.at) / _RATE_WINDOW)
        self.rate = self.rate * kept + 1.0 / _RATE_WINDOW
        self.at = now


class RetryPolicy:
    """Budgets of all deployments at one gateway or journal owner.

    Parameters
    ----------
    cfg : RetrySettings
        Budgets and back-off.
    rng : random.Random
        For jitter.
    first : callable
        Returns the retries that a deployment has before its first send: the very first
        connection may be refused.
    """

    def __init__(
        self,
        cfg: RetrySettings,
        rng: Random,
        first: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._cfg = cfg
        self._rng = rng
        self._first = first
        self._budgets: dict[str, _Budget] = {}

    @classmethod
    def from_config(cls, cfg: RetrySettings, rng: Random) -> "RetryPolicy":
        """Build from settings."""
        return cls(cfg, rng)

    def configure(self, cfg: RetrySettings) -> None:
        """Take other budgets, as when the number of relays changes."""
        self._cfg = cfg

    def record_first_send(self, deployment: str, now: float) -> None:
        """Count a request's first send; call once per request."""
        self._budget(deployment).earn(now, self._cfg)

    def next_attempt(
        self, failure: Failure, attempt: int, now: float
    ) -> Retry | GiveUp:
        """Decide after try number ``attempt`` (from 1) failed."""
        cfg = self._cfg
        if not self._may_repeat(failure):
            return GiveUp(self._final_kind(failure), None, "may not be repeated")
        if attempt >= cfg.attempts:
            return self._give_up(failure, now, "no tries left")
        after = self._backoff(attempt)
        if failure.deadline and now + after + failure.min_attempt_s >= failure.deadline:
            return self._give_up(failure, now, "the deadline is too near")
        budget = self._budget(failure.deployment)
        if budget.retries < 1.0:
            return self._give_up(failure, now, "the retry budget is spent")
        budget.retries -= 1.0
        return Retry(after)

    def can_retry(self, deployment: str, attempt: int) -> bool:
        """Return whether another try could follow try number ``attempt`` now."""
        spare = self._budget(deployment).retries >= 1.0
        return spare and attempt < self._cfg.attempts

    def try_spend(self, deployment: str) -> bool:
        """Take a further send from the budget where nothing has failed."""
        budget = self._budget(deployment)
        if budget.retries < 1.0:
            return False
        budget.retries -= 1.0
        return True

    def try_hedge(
        self, deployment: str, idempotent: bool, deadline: float, now: float
    ) -> bool:
        """Take a hedge from the budget for a short idempotent look-up."""
        if not idempotent or (deadline and now >= deadline):
            return False
        budget = self._budget(deployment)
        if budget.hedges < 1.0 or budget.retries < 1.0:
            return False
        budget.hedges -= 1.0
        budget.retries -= 1.0
        return True

    def available_retries(self, deployment: str) -> float:
        """Return the retries that a deployment has saved up."""
        return self._budget(deployment).retries

    def _budget(self, deployment: str) -> _Budget:
        if deployment not in self._budgets:
            first = min(self._first(), self._cfg.budget_cap)
            self._budgets[deployment] = _Budget(first, 0.0)
        return self._budgets[deployment]

    def _may_repeat(self, failure: Failure) -> bool:
        """Return whether another try is harmless and can help."""
        if failure.kind in _PROOF and not failure.first_byte_received:
            return True
        return failure.idempotent and failure.kind in _REPEATABLE

    def _backoff(self, attempt: int) -> float:
        """Return a wait drawn evenly from nothing to twice the mean."""
        cfg = self._cfg
        mean = min(cfg.backoff_max / 2, cfg.backoff * 2 ** (attempt - 1))
        return self._rng.uniform(0.0, 2.0 * mean)

    def _final_kind(self, failure: Failure) -> ErrorKind:
        """Return the kind that a caller is told."""
        proven = failure.kind in _PROOF and not failure.first_byte_received
        if proven and not failure.may_have_run:
            return failure.kind
        if not failure.idempotent and failure.kind in _REPEATABLE:
            return ErrorKind.OUTCOME_UNKNOWN
        return failure.kind

    def _give_up(self, failure: Failure, now: float, why: str) -> GiveUp:
        """Answer at once; the wait told is when a repeat can be afforded."""
        kind = self._final_kind(failure)
        if failure.may_have_run and kind in _PROOF:
            kind = ErrorKind.RETRY_BUDGET
        return GiveUp(kind, self._retry_after(failure.deployment, now), why)

    def _retry_after(self, deployment: str, now: float) -> float:
        """Return when the budget affords a retry again, jittered, seconds."""
        budget = self._budget(deployment)
        missing = max(0.0, 1.0 - budget.retries)
        age = max(0.0, now - budget.at)
        rate = budget.rate * max(0.0, 1.0 - age / _RATE_WINDOW) * self._cfg.budget
        wait = missing / rate if rate > 0.0 else _RETRY_AFTER_MIN
        wait = min(_RETRY_AFTER_MAX, max(_RETRY_AFTER_MIN, wait))
        return wait * self._rng.uniform(1.0, 1.5)
