"""Whether and when an answer goes on after a try that failed."""

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.endpoint_health import EndpointHealth
from ebonydeal._internal.gateway.live_stream import LiveStream
from ebonydeal._internal.gateway.ports import DirectoryPort, FailedAttempt, RetryPort
from ebonydeal._internal.utils.clock import Clock

FINAL_KINDS = (ErrorKind.BAD_REQUEST, ErrorKind.DEADLINE_EXCEEDED)
# Tries without a token that one answer may make beside the retry budget.
_MAX_FREE_ATTEMPTS = 8
_ENDPOINT_POLL_INTERVAL_S = 0.1


class Resumption:
    """Decides on the next try of an answer.

    Parameters
    ----------
    retries : RetryPort
        The deployment's retry budget.
    directory : DirectoryPort
        Endpoints that may get new work.
    health : Health
        Which of them are known to work.
    clock : Clock
        Time.
    patience_s : float
        How long an answer that has begun waits for an endpoint, seconds.
    """

    def __init__(
        self,
        retries: RetryPort,
        directory: DirectoryPort,
        health: EndpointHealth,
        clock: Clock,
        max_wait_s: float,
    ) -> None:
        self._retries = retries
        self._directory = directory
        self._health = health
        self._clock = clock
        self._max_wait_s = max_wait_s

    async def wait(self, live: LiveStream, error: EbonydealError) -> float:
        """Return seconds until the next try, or raise the final error.

        An answer that has begun waits, sending nothing, until an endpoint is
        known to work or the budget allows a try; one that has not begun gets
        its final error at once.
        """
        until = self._clock.wall() + self._max_wait_s
        while True:
            now = self._clock.wall()
            live.check_deadline(now)
            verdict = self._decide(live, error, now)
            if not isinstance(verdict, EbonydealError):
                return verdict
            if not live.delivered or now >= until:
                raise verdict
            await self._clock.sleep(_ENDPOINT_POLL_INTERVAL_S)

    def _decide(
        self, live: LiveStream, error: EbonydealError, now: float
    ) -> float | EbonydealError:
        """Return the wait before the next try, or the final error."""
        if self._can_retry_free(live, now):
            return 0.0
        failure = FailedAttempt(
            kind=error.kind,
            deployment=live.job.deployment.name,
            idempotent=True,
            may_have_run=live.attempt_count > 1,
            first_byte_received=bool(live.delivered),
            deadline=live.job.request.deadline,
        )
        verdict = self._retries.next_delay(
            failure, max(1, live.attempts_without_token), now
        )
        if isinstance(verdict, EbonydealError) and verdict.kind is error.kind:
            return EbonydealError(
                error.kind, error.detail, retry_after=verdict.retry_after
            )
        return verdict

    def _can_retry_free(self, live: LiveStream, now: float) -> bool:
        """Return whether the next try may be made without a budget.

        So it is if another endpoint is known to work: then the failure was that
        endpoint's own, and going on can't multiply the load of a brown-out.
        """
        if live.attempt_count == 0 or live.attempts_without_token > _MAX_FREE_ATTEMPTS:
            return False
        deployment = live.job.deployment.name
        return self._health.any_working(
            self._directory.views(deployment), live.avoid, now
        )
