"""What a new lease holder may grant at once, before shares are delegated to it.

After a loss nobody has shares until the delegations by lost processes have expired. A
part of the tolerance is reserved for that time, enough for two holders in a window,
since several losses may follow each other. The start times of the last grants are
stored together with the lease, so the bound of a window holds however often relays
start.
"""

from collections.abc import Iterable

from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds

# Unused amounts expire after this time: by then shares are delegated.
STARTUP_GRANT_TTL_S = 2.0
# This many startup grants may start in a window, each with its part of the tolerance.
MAX_STARTUP_GRANTS = 2
# Relays' readings of the store's clock may differ by this much.
_MAX_CLOCK_SKEW_S = 1.0
_NEVER = float("-inf")


class StartupGrant:
    """The amounts that one lease holder may grant at its start.

    Parameters
    ----------
    bounds : QuotaBounds
        How far limits may be exceeded.
    """

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        # Whether a grant may start, and whether its start is still to be stored.
        self._allowed = False
        self.is_requested = False
        self._started_at: list[float] = []
        self._until = _NEVER
        self._pending_until = _NEVER
        self._used: dict[str, float] = {}

    def load(self, started_at: Iterable[float], now: float) -> None:
        """Start as lease holder.

        Parameters
        ----------
        started_at : iterable of float
            When the last startup grants started, by the store's clock, seconds.
        now : float
            The store's time.
        """
        spacing = self._bounds.window + STARTUP_GRANT_TTL_S + _MAX_CLOCK_SKEW_S
        self._started_at = [at for at in started_at if now - at < spacing]
        self._allowed = len(self._started_at) < MAX_STARTUP_GRANTS
        self.is_requested = False
        self._until = _NEVER
        self._used = {}

    def request(self) -> bool:
        """Note that the grant is needed; return whether its start must be stored."""
        self.is_requested, self._allowed = self.is_requested or self._allowed, False
        return self.is_requested

    def begin_write(self, now: float, clock_ahead_s: float) -> list[float]:
        """Return the start times to be stored, which include this grant's.

        ``now`` is this process's time; the store's clock is ahead of it by
        ``clock_ahead_s``.
        """
        self._pending_until = now + STARTUP_GRANT_TTL_S
        return [*self._started_at, now + clock_ahead_s][-MAX_STARTUP_GRANTS:]

    def confirm_write(self) -> None:
        """Note that the start times are stored."""
        self.is_requested = False
        self._until = self._pending_until

    def take(self, account: ForwardAccount, need: float, now: float) -> bool:
        """Use ``need`` of an account if that much is left; return whether it was."""
        used = self._used.get(account.name, 0.0) + need
        if (
            now >= self._until
            or used > self._bounds.startup(account) / MAX_STARTUP_GRANTS
        ):
            return False
        self._used[account.name] = used
        return True
