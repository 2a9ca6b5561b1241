"""Whether a relay's own links to the endpoints of a service work.

A relay that can't reach several endpoints at the same time has probably lost its own
links, while other relays still reach them. Failed connections and missing replies are
the evidence. It only makes the links suspect: test connections confirm or refute it,
since the endpoints may have failed as well.
"""

from collections.abc import Container
from enum import StrEnum

# Links are suspect once so many endpoints fail without any success in between, or a
# single one if the last suspicion is long enough ago: with few requests, a second
# failure would come late, and an endpoint that keeps failing mustn't cost many tests.
_MIN_FAILED_ENDPOINTS = 2
_MIN_SUSPICION_INTERVAL_S = 2.0
# A failure counts for this long.
_EVIDENCE_TTL_S = 2.0
# Test connections in a row that must succeed before links count as working again:
# hysteresis for links that come and go.
_MIN_SUCCESSES = 2
# Time between test connections while links are down. It doubles each time links go
# down again within the given time after they had come up.
_TEST_INTERVAL_S = 0.4
_MAX_TEST_INTERVAL_S = 3.2
_RELAPSE_S = 10.0


class LinkState(StrEnum):
    """State of a relay's links to the endpoints of one service."""

    UP = "up"
    SUSPECT = "suspect"
    DOWN = "down"


class LinkHealth:
    """A relay's links to the endpoints of one service.

    New and open connections are told apart: open ones may live on while no new one can
    be made.

    Attributes
    ----------
    state : LinkState
        The state; `DOWN` only after a test connection has failed.
    """

    def __init__(self) -> None:
        self.state = LinkState.UP
        # When a new connection to an endpoint, or a reply from it, failed last.
        self._failed_connects: dict[str, float] = {}
        self._missing_replies: dict[str, float] = {}
        self._replied_at: dict[str, float] = {}
        self._last_reply_at: float | None = None
        self._successes = 0
        self._test_interval_s = _TEST_INTERVAL_S
        self._up_since: float | None = None
        self._suspected_at: float | None = None

    @property
    def test_interval_s(self) -> float:
        """Seconds between test connections while links are down."""
        return self._test_interval_s

    @property
    def open_connections_work(self) -> bool:
        """Whether replies still come on connections that are open."""
        return not self._missing_replies

    @property
    def failed_endpoints(self) -> list[str]:
        """The endpoints that failed since the last success."""
        return sorted(self._failed_connects.keys() | self._missing_replies.keys())

    def reply_age(self, now: float) -> float | None:
        """Return the seconds since the last reply; None if none came."""
        return None if self._last_reply_at is None else now - self._last_reply_at

    def record_reply(self, endpoint_id: str, new_connection: bool, now: float) -> None:
        """Record that an endpoint replied, on a new connection or on an open one."""
        self._last_reply_at = self._replied_at[endpoint_id] = now
        self._missing_replies.clear()
        if new_connection:
            self._failed_connects.clear()
            self.record_test(True, now)
        if self.state is LinkState.SUSPECT and not self._failed_connects:
            self._set_up(now)

    def record_failed_connect(self, endpoint_id: str, listed: int, now: float) -> bool:
        """Record a failed connection; return whether links have become suspect.

        ``listed`` is the number of endpoints of the service.
        """
        self._failed_connects[endpoint_id] = now
        return self._check(listed, now)

    def record_missing_reply(
        self, endpoint_id: str, since: float, listed: int, now: float
    ) -> bool:
        """Record that no reply came; return whether links have become suspect.

        ``since`` is when the request was sent: an endpoint that has sent anything later
        can be reached.
        """
        if self._replied_at.get(endpoint_id, since) > since:
            return False
        self._missing_replies[endpoint_id] = now
        return self._check(listed, now)

    def _check(self, listed: int, now: float) -> bool:
        for evidence in (self._failed_connects, self._missing_replies):
            for endpoint_id, at in list(evidence.items()):
                if now - at > _EVIDENCE_TTL_S and self.state is LinkState.UP:
                    del evidence[endpoint_id]
        if self.state is not LinkState.UP:
            return False
        recent = (
            self._suspected_at is not None
            and now - self._suspected_at < _MIN_SUSPICION_INTERVAL_S
        )
        needed = min(_MIN_FAILED_ENDPOINTS, max(1, listed)) if recent else 1
        if len(self.failed_endpoints) < needed:
            return False
        self.state = LinkState.SUSPECT
        self._suspected_at = now
        return True

    def record_test(self, connected: bool, now: float) -> None:
        """Record a test connection to one or more of the endpoints."""
        match self.state:
            case LinkState.SUSPECT if connected:
                self._set_up(now)
            case LinkState.SUSPECT:
                self._set_down(now)
            case LinkState.DOWN:
                self._successes = self._successes + 1 if connected else 0
                if self._successes >= _MIN_SUCCESSES:
                    self._set_up(now)
            case LinkState.UP:
                pass

    def _set_up(self, now: float) -> None:
        if self.state is LinkState.DOWN:
            self._up_since = now
        self.state = LinkState.UP
        self._failed_connects.clear()
        self._missing_replies.clear()

    def _set_down(self, now: float) -> None:
        relapsed = self._up_since is not None and now - self._up_since < _RELAPSE_S
        self._test_interval_s = (
            min(_MAX_TEST_INTERVAL_S, self._test_interval_s * 2.0)
            if relapsed
            else _TEST_INTERVAL_S
        )
        self.state = LinkState.DOWN
        self._successes = 0

    def retain_only(self, endpoint_ids: Container[str]) -> None:
        """Drop what is known of other endpoints, which are no longer listed."""
        for known in (self._failed_connects, self._missing_replies, self._replied_at):
            for endpoint_id in [e for e in known if e not in endpoint_ids]:
                del known[endpoint_id]
