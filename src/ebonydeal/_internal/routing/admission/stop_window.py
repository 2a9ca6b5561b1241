"""What a relay that was told to stop may still pass on to an endpoint; pure."""

from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Repeat, Route

# A plain request is expected to take at most this many times its latency objective.
_MAX_PLAIN_OBJECTIVES = 4.0


class StopWindow(NamedTuple):
    """The time that a stopping relay has, monotonic seconds.

    Attributes
    ----------
    accepts_all_until : float
        Until then the balancer may send new connections, and every request is passed
        on.
    end : float
        When the relay ends its answers.
    """

    accepts_all_until: float
    end: float

    def latest_send(self, route: Route, deadline: float, longest_s: float) -> float:
        """Return when a request can no longer be passed on, as it wouldn't finish.

        Parameters
        ----------
        route : Route
            Route of the request.
        deadline : float
            When the request itself ends, monotonic seconds.
        longest_s : float
            The longest time that a request of this route took lately until its answer
            was written, seconds.
        """
        if deadline < self.end:
            return self.end
        if route.repeat is Repeat.STREAM or not route.objective:
            # It may take until its deadline.
            return min(self.end, self.accepts_all_until)
        longest_s = max(longest_s, route.objective * _MAX_PLAIN_OBJECTIVES)
        return min(self.end, max(self.accepts_all_until, self.end - longest_s))
