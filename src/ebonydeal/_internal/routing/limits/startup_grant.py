"""What a new holder of the lease may grant at once, before shares are delegated to it.

After a loss nobody has shares until what lost processes promised is over. Part of what
is tolerated is kept for that time, for two holders in a window: losses come in series.
The store counts them: when the last ones were begun lies there, written under the
lease. So however often relays start, a window holds no more.
"""

from collections.abc import Iterable

from ebonydeal._internal.models.forwarding import ForwardAccount
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds

# What isn't granted by then lapses: shares are there.
STARTUP_GRANT_TTL_S = 2.0
# So many are begun in a window, each with its part.
MAX_STARTUP_GRANTS = 2
# By so much relays' readings of the store's clock may differ.
_CLOCK_MARGIN_S = 1.0
_NEVER = float("-inf")


class StartupGrant:
    """The amounts of one holder.

    Parameters
    ----------
    bounds : QuotaBounds
        What limits tolerate.
    """

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        # Whether one may be begun, and whether it is to be.
        self._is_due = False
        self.wanted = False
        self._begun: list[float] = []
        self._until = _NEVER
        self._pending = _NEVER
        self._used: dict[str, float] = {}

    def load(self, begun: Iterable[float], now: float) -> None:
        """Begin as holder.

        Parameters
        ----------
        begun : iterable of float
            When the last ones were begun, by the store's clock, seconds.
        now : float
            The store's time.
        """
        spacing = self._bounds.window + STARTUP_GRANT_TTL_S + _CLOCK_MARGIN_S
        self._begun = [at for at in begun if now - at < spacing]
        self._is_due = len(self._begun) < MAX_STARTUP_GRANTS
        self.wanted = False
        self._until = _NEVER
        self._used = {}

    def want(self) -> bool:
        """Note that it is needed; return whether it is to be written now."""
        self.wanted, self._is_due = self.wanted or self._is_due, False
        return self.wanted

    def writes(self, now: float, ahead: float) -> list[float]:
        """Return what is to lie in the store: when the last ones were begun.

        ``now`` is by this process's clock, which the store's is ``ahead`` of.
        """
        self._pending = now + STARTUP_GRANT_TTL_S
        return [*self._begun, now + ahead][-MAX_STARTUP_GRANTS:]

    def wrote(self) -> None:
        """Note that it lies there."""
        self.wanted = False
        self._until = self._pending

    def take(self, account: ForwardAccount, need: float, now: float) -> bool:
        """Use ``need`` of an account, if so much is left."""
        used = self._used.get(account.name, 0.0) + need
        if (
            now >= self._until
            or used > self._bounds.startup(account) / MAX_STARTUP_GRANTS
        ):
            return False
        self._used[account.name] = used
        return True
