"""A model of relays in front of an endpoint that announces, changes and ends a limit.

Based on `shares_model`: in each step every relay sends as much as it may, and each
answer announces the endpoint's current limit.
"""

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import EndpointProcess
from ebonydeal._internal.routing.limits.endpoint_limits import (
    WINDOW_S,
    max_requests_per_window,
)
from tests.lib.limits_cluster import limited_account, quota_bounds
from tests.lib.shares_model import SharesModel

ENDPOINT = EndpointProcess("i1", 7)
# A relay is bound by the limit from this long after the answer that announced it.
_KNOWN_AFTER_S = 0.5
# Requests that a relay sends in a step while it knows of no limit.
_UNLIMITED_REQUESTS = 3


class EndpointModel(SharesModel):
    """The relays, and the endpoint's limit.

    ``sent`` holds the arrival times of requests from relays that were bound;
    ``announced`` the limits that the endpoint announced, with the time of each.
    """

    def __init__(self, names, step=0.4):
        self.announced, self.sent, self.first_announced_at = [(0.0, None)], [], {}
        super().__init__(names, limited_account(6.0), quota_bounds(), 1.0, step)

    def announce(self, limit):
        """Let the endpoint announce another limit, None for none."""
        self.announced.append((self.clock.now(), limit))

    @property
    def limit(self):
        return self.announced[-1][1]

    def started(self, name):
        self.first_announced_at.pop(name, None)

    def _send_requests(self):
        for name, relay in list(self.running.items()):
            if name not in self.paused:
                self._send_all(name, relay)

    def _send_all(self, name, relay):
        now = self.clock.now()
        for _ in range(_UNLIMITED_REQUESTS):
            if relay.notices.limit(ENDPOINT, now) is not None:
                break
            self._arrive(name, relay)
        while (report := relay.notices.limit_report(ENDPOINT, now)) is not None:
            try:
                if not relay.granter.permit(report)["granted"]:
                    break
            except EbonydealError:
                break
            self._arrive(name, relay)

    def _arrive(self, name, relay):
        """Let the endpoint receive a request and answer it."""
        now = self.clock.now()
        if (
            name in self.first_announced_at
            and now >= self.first_announced_at[name] + _KNOWN_AFTER_S
        ):
            self.sent.append(now)
        if self.limit is None:
            self.first_announced_at.pop(name, None)
        else:
            self.first_announced_at.setdefault(name, now)
        relay.notices.note_limit(ENDPOINT, self.limit, now, now)

    def check_limit(self):
        """Check each window in which a limit was announced throughout."""
        for end in self.sent:
            limits = self._announced_in(end - WINDOW_S, end)
            if None in limits:
                continue
            count = sum(end - WINDOW_S < at <= end for at in self.sent)
            assert count <= max_requests_per_window(max(limits)) + 1e-6, (
                end,
                count,
                limits,
            )

    def _announced_in(self, begin, end):
        """Return the limits announced in a window."""
        later = [at for at, _limit in self.announced[1:]] + [float("inf")]
        return [
            limit
            for (since, limit), until in zip(self.announced, later, strict=True)
            if since <= end and until > begin
        ]
