"""Enforces time limits of running answers: stalls, deadlines, blocked callers."""

from mode import Service

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.gateway.attempts import (
    Attempt,
    AttemptFailed,
    Silent,
    stalled_error,
)
from ebonydeal._internal.gateway.live_stream import LiveStream
from ebonydeal._internal.gateway.stream_runner import StreamRunner
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.utils.clock import Clock

_CHECK_INTERVAL_S = 0.1


class StreamWatchdog(Service):
    """Reports silent attempts and ends answers that are past their deadline.

    All answers are checked every tenth of a second, instead of a timer for each
    token.

    Parameters
    ----------
    runner : StreamRunner
        Runs the answers to check.
    cfg : GatewaySettings
        Time limits.
    clock : Clock
        Time.
    """

    def __init__(
        self, runner: StreamRunner, cfg: GatewaySettings, clock: Clock
    ) -> None:
        super().__init__()
        self._runner = runner
        self._cfg = cfg
        self._clock = clock

    @Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Check all answers once."""
        now, wall = self._clock.now(), self._clock.wall()
        for live in list(self._runner.live_streams):
            for attempt in (live.attempt, live.successor):
                if attempt is not None:
                    self._check_attempt(live, attempt, now, wall)
            since = live.writing_since
            if since is not None and now - since > self._cfg.write_seconds:
                live.abort()

    def _check_attempt(
        self, live: LiveStream, attempt: Attempt, now: float, wall: float
    ) -> None:
        """Report an attempt that exceeded a time limit."""
        try:
            live.check_deadline(wall)
        except EbonydealError as exc:
            live.migrating = False
            attempt.mailbox.post(AttemptFailed(exc))
            return
        since = attempt.waiting_since
        if (
            since is not None
            and not live.migrating
            and now - since > self._max_gap_s(attempt)
        ):
            if attempt is live.attempt:
                attempt.mailbox.post_once(Silent())
            else:
                attempt.mailbox.post(AttemptFailed(stalled_error()))

    def _max_gap_s(self, attempt: Attempt) -> float:
        """Return the maximum time to the engine's next chunk, seconds."""
        if attempt.first_at is None:
            return self._cfg.first_token_seconds
        return self._cfg.token_gap_seconds
