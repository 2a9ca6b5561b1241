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
    """Asks the retry policy.

    Parameters
    ----------
    policy : RetryPolicy
        The decision.
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy

    def record_first_send(self, deployment: str, now: float) -> None:
        """Count a request's first try, from which the budget grows."""
        self._policy.record_first_send(deployment, now)

    def next_delay(
        self, failure: FailedAttempt, attempts: int, now: float
    ) -> float | EbonydealError:
        """Return seconds until the next try, or the error to give up with."""
        failed = Failure(
            kind=failure.kind,
            deployment=failure.deployment,
            idempotent=failure.idempotent,
            may_have_run=failure.may_have_run,
            first_byte_received=failure.first_byte_received,
            deadline=failure.deadline,
        )
        match self._policy.next_attempt(failed, attempts, now):
            case Retry(delay_s=after):
                return after
            case GiveUp(kind=kind, retry_after=wait, reason=why):
                return EbonydealError(kind, why, retry_after=wait)

    def try_hedge(self, deployment: str, deadline: float, now: float) -> bool:
        """Take a hedge from the budget; return whether it allowed one."""
        return self._policy.try_hedge(deployment, True, deadline, now)
