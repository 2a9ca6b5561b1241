"""Decides whether and when an answer continues after a failed attempt."""

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.endpoint_health import EndpointHealth
from ebonydeal._internal.gateway.live_stream import LiveStream
from ebonydeal._internal.gateway.ports import DirectoryPort, FailedAttempt, RetryPort
from ebonydeal._internal.utils.clock import Clock

FINAL_KINDS = (ErrorKind.BAD_REQUEST, ErrorKind.DEADLINE_EXCEEDED)
# Consecutive attempts without a token that one answer may make without drawing on
# the retry budget.
_MAX_FREE_ATTEMPTS = 8
_ENDPOINT_POLL_INTERVAL_S = 0.1


class Resumption:
    """Decides on the next attempt of an answer.

    Parameters
    ----------
    retries : RetryPort
        Retry budgets of the deployments.
    directory : DirectoryPort
        Endpoints that may receive new requests.
    health : EndpointHealth
        Which endpoints are known to work.
    clock : Clock
        Time.
    max_wait_s : float
        Maximum wait of a started answer for an endpoint, seconds; also an attribute.
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
        self.max_wait_s = max_wait_s

    async def wait(self, live: LiveStream, error: EbonydealError) -> float:
        """Return seconds until the next attempt, or raise the final error.

        A started answer waits, without sending anything, until an endpoint is
        known to work or the budget allows a retry. An answer that has not
        started fails without waiting.
        """
        wait_until = self._clock.wall() + self.max_wait_s
        while True:
            now = self._clock.wall()
            live.check_deadline(now)
            verdict = self.decide(live, error, now)
            if not isinstance(verdict, EbonydealError):
                return verdict
            if not live.delivered or now >= wait_until:
                raise verdict
            await self._clock.sleep(_ENDPOINT_POLL_INTERVAL_S)

    def decide(
        self, live: LiveStream, error: EbonydealError, now: float
    ) -> float | EbonydealError:
        """Return seconds until the next attempt, or the final error; never waits."""
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
        """Return whether the next attempt needs no retry budget.

        It needs none if another endpoint is known to work: then only one
        endpoint failed, and a retry can't multiply the load during a brown-out.
        """
        if live.attempt_count == 0 or live.attempts_without_token > _MAX_FREE_ATTEMPTS:
            return False
        deployment = live.job.deployment.name
        return self._health.any_working(
            self._directory.views(deployment), live.avoid, now
        )
