"""Relays before an endpoint that names a limit, changes it and takes it back.

On top of `shares_model`: in each step every relay sends whatever it may, and hears in
each answer what the endpoint names then.
"""

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import EndpointProcess
from ebonydeal._internal.routing.limits.endpoint_limits import WINDOW_S, bears
from tests.lib.limits_cluster import limited, tolerated
from tests.lib.shares_model import Model

ENDPOINT = EndpointProcess("i1", 7)
# From so long after it passed on an answer that names the limit, a relay is bound.
_KNOWN_AFTER_S = 0.5
# What a relay sends in a step while it knows of no limit.
_UNLIMITED = 3


class EndpointModel(Model):
    """The relays, and what the endpoint names.

    ``sent`` holds when a request of a relay that was bound came; ``named`` the limits
    that the endpoint named, with when each began.
    """

    def __init__(self, names, step=0.4):
        self.named, self.sent, self.told = [(0.0, None)], [], {}
        super().__init__(names, limited(6.0), tolerated(), 1.0, step)

    def name(self, limit):
        """Let the endpoint name another limit, None for none."""
        self.named.append((self.clock.now(), limit))

    @property
    def limit(self):
        return self.named[-1][1]

    def started(self, name):
        self.told.pop(name, None)

    def _press(self):
        for name, relay in list(self.running.items()):
            if name not in self.paused:
                self._send_all(name, relay)

    def _send_all(self, name, relay):
        now = self.clock.now()
        for _ in range(_UNLIMITED):
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
        """Let the endpoint get a request, and answer it."""
        now = self.clock.now()
        if name in self.told and now >= self.told[name] + _KNOWN_AFTER_S:
            self.sent.append(now)
        if self.limit is None:
            self.told.pop(name, None)
        else:
            self.told.setdefault(name, now)
        relay.notices.heard_limit(ENDPOINT, self.limit, now, now)

    def check_limit(self):
        """Check each window in which a limit was named throughout."""
        for end in self.sent:
            limits = self._named_in(end - WINDOW_S, end)
            if None in limits:
                continue
            came = sum(end - WINDOW_S < at <= end for at in self.sent)
            assert came <= bears(max(limits)) + 1e-6, (end, came, limits)

    def _named_in(self, begin, end):
        """Return what was named in a window."""
        later = [at for at, _limit in self.named[1:]] + [float("inf")]
        return [
            limit
            for (since, limit), until in zip(self.named, later, strict=True)
            if since <= end and until > begin
        ]
