"""`RetryPort` on top of the retry policy."""

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.gateway.ports import FailedAttempt
from ebonydeal._internal.routing.retries.retries import (
    Failure,
    GiveUp,
    Retry,
    RetryPolicy,
)


class RetryBudget:
    """Adapts the retry policy to the gateway.

    Parameters
    ----------
    policy : RetryPolicy
        Decides on retries and hedges.
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy

    def record_first_send(self, deployment: str, now: float) -> None:
        """Record a request's first attempt, which adds to the retry budget."""
        self._policy.record_first_send(deployment, now)

    def next_delay(
        self, failure: FailedAttempt, attempts: int, now: float
    ) -> float | EbonydealError:
        """Return seconds until the next attempt, or the final error."""
        failed = Failure(
            kind=failure.kind,
            deployment=failure.deployment,
            idempotent=failure.idempotent,
            may_have_run=failure.may_have_run,
            first_byte_received=failure.first_byte_received,
            deadline=failure.deadline,
        )
        match self._policy.next_attempt(failed, attempts, now):
            case Retry(delay_s=delay):
                return delay
            case GiveUp(kind=kind, retry_after=retry_after, reason=reason):
                return EbonydealError(kind, reason, retry_after=retry_after)

    def try_hedge(self, deployment: str, deadline: float, now: float) -> bool:
        """Return whether the budget allows a hedge; if so, charge it."""
        return self._policy.try_hedge(deployment, True, deadline, now)
