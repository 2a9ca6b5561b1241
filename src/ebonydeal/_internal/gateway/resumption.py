"""Whether and when an answer goes on after a try that failed."""

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.endpoint_health import EndpointHealth
from ebonydeal._internal.gateway.live_stream import LiveStream
from ebonydeal._internal.gateway.ports import DirectoryPort, FailedAttempt, RetryPort
from ebonydeal._internal.utils.clock import Clock

FINAL_KINDS = (ErrorKind.BAD_REQUEST, ErrorKind.DEADLINE_EXCEEDED)
# Tries without a token that one answer may make beside the retry budget.
_FREE_TRIES = 8
_SURVIVOR_POLL_S = 0.1


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
        patience_s: float,
    ) -> None:
        self._retries = retries
        self._directory = directory
        self._health = health
        self._clock = clock
        self._patience = patience_s

    async def wait(self, live: LiveStream, error: EbonydealError) -> float:
        """Return seconds until the next try, or raise the final error.

        An answer that has begun waits, sending nothing, until an endpoint is
        known to work or the budget allows a try; one that has not begun gets
        its final error at once.
        """
        until = self._clock.wall() + self._patience
        while True:
            now = self._clock.wall()
            live.check_deadline(now)
            verdict = self._verdict(live, error, now)
            if not isinstance(verdict, EbonydealError):
                return verdict
            if not live.delivered or now >= until:
                raise verdict
            await self._clock.sleep(_SURVIVOR_POLL_S)

    def _verdict(
        self, live: LiveStream, error: EbonydealError, now: float
    ) -> float | EbonydealError:
        """Return the wait before the next try, or the final error."""
        if self._may_try_free(live, now):
            return 0.0
        failure = FailedAttempt(
            kind=error.kind,
            deployment=live.job.deployment.name,
            idempotent=True,
            ran_before=live.tries > 1,
            first_byte=bool(live.delivered),
            deadline=live.job.request.deadline,
        )
        verdict = self._retries.next_delay(failure, max(1, live.fruitless), now)
        if isinstance(verdict, EbonydealError) and verdict.kind is error.kind:
            return EbonydealError(
                error.kind, error.detail, retry_after=verdict.retry_after
            )
        return verdict

    def _may_try_free(self, live: LiveStream, now: float) -> bool:
        """Return whether the next try may be made without a budget.

        So it is if another endpoint is known to work: then the failure was that
        endpoint's own, and going on can't multiply the load of a brown-out.
        """
        if live.tries == 0 or live.fruitless > _FREE_TRIES:
            return False
        deployment = live.job.deployment.name
        return self._health.any_working(
            self._directory.views(deployment), live.avoid, now
        )
