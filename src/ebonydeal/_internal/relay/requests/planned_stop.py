"""A planned stop of this relay, as its requests see it."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Route
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun
from ebonydeal._internal.routing.admission.answer_durations import AnswerDurations
from ebonydeal._internal.routing.admission.stop_window import StopWindow
from ebonydeal._internal.utils.clock import Clock

# A timer may fire up to the event loop's clock resolution early.
_TIMER_MARGIN_S = 0.001


class PlannedStop:
    """Keeps a stopping relay from passing on requests that it can't finish.

    Until a request is passed on to an endpoint it can be answered "not run"; from then
    on it needs a complete answer. Time passes before each send: for the body, a client
    account's limit, an endpoint, a test of the links, an earlier send. So the time left
    is checked before each of them.

    Parameters
    ----------
    clock : Clock
        Time.

    Attributes
    ----------
    window : StopWindow or None
        The time that is left; None while the relay isn't stopping.
    answered, refused : int
        Requests answered since the stop began, and those of them that were refused as
        it was too late.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.window: StopWindow | None = None
        self.answered = self.refused = 0
        self._durations = AnswerDurations()
        # Timeouts of waits that end sooner if the relay stops meanwhile, and when.
        self._limits: dict[asyncio.Timeout, Callable[[StopWindow], float]] = {}

    @property
    def has_begun(self) -> bool:
        """Whether this relay is stopping."""
        return self.window is not None

    def begin(self, window: StopWindow) -> None:
        """Stop within ``window``."""
        self.window = window
        for limit, end in self._limits.items():
            self._shorten(limit, end(window))

    def is_too_late(self, route: Route, deadline: float) -> bool:
        """Return whether a request that is passed on now wouldn't finish in time."""
        if self.window is None:
            return False
        return self._clock.now() >= self._latest_send(self.window, route, deadline)

    def _latest_send(self, window: StopWindow, route: Route, deadline: float) -> float:
        longest_s = self._durations.longest(route.name, self._clock.now())
        return window.latest_send(route, deadline, longest_s)

    def check(self, route: Route, deadline: float) -> None:
        """Raise DRAINING if a request that is passed on now wouldn't finish in time."""
        if self.is_too_late(route, deadline):
            raise self.refusal()

    def refusal(self) -> EbonydealError:
        """Return the error for a request that is not passed on."""
        assert self.window is not None
        left_s = self.window.end - self._clock.now()
        detail = f"this instance is stopping, in {left_s:.2f} s"
        return EbonydealError(ErrorKind.DRAINING, detail)

    def record_duration(self, route: Route, accepted_at: float) -> None:
        """Record that the answer to a request was written to its end."""
        now = self._clock.now()
        self._durations.record(route.name, now - accepted_at, now)

    def record_answer(self) -> None:
        """Count an answer, if the stop has begun."""
        self.answered += self.has_begun

    @contextmanager
    def limit_body(
        self, limit: asyncio.Timeout, route: Route, deadline: float
    ) -> Iterator[None]:
        """Make the wait for a body time out when it is too late to pass it on."""
        with self._limit(limit, lambda w: self._latest_send(w, route, deadline)):
            yield

    @contextmanager
    def limit_send(self, limit: asyncio.Timeout) -> Iterator[None]:
        """Make the wait for an answer time out when the relay ends its answers."""
        with self._limit(limit, lambda window: window.end):
            yield

    def stopped_outcome(self) -> MayHaveRun | None:
        """Return the outcome of a send that the stop has ended, or None."""
        if self.window is None or self._clock.now() < self.window.end:
            return None
        detail = "this instance stopped before the answer was complete"
        return MayHaveRun(ErrorKind.INSTANCE_STOPPED, detail, endpoint_fault=False)

    @contextmanager
    def _limit(
        self, limit: asyncio.Timeout, end: Callable[[StopWindow], float]
    ) -> Iterator[None]:
        if self.window is not None:
            self._shorten(limit, end(self.window))
        self._limits[limit] = end
        try:
            yield
        finally:
            del self._limits[limit]

    def _shorten(self, limit: asyncio.Timeout, end: float) -> None:
        """Let a timeout expire at ``end``, if that is sooner."""
        if limit.expired():
            return
        left_s = end - self._clock.now() + _TIMER_MARGIN_S
        when = asyncio.get_running_loop().time() + left_s
        current = limit.when()
        if current is None or when < current:
            limit.reschedule(when)
