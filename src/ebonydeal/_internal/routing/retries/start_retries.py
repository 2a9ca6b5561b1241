"""Retries that relays may make before their first sends have earned one.

A relay that starts can't know how many others started before it. So the lease holder
allots these retries, from a part of the shared budget that is reserved for starts. It
doesn't know what a holder before it allotted, and waits until that was a window ago.
"""

# Window of the shared retry budget.
RETRY_WINDOW_S = 10.0
# A reply that allots a retry may arrive this much later.
_MAX_DELIVERY_S = 1.0
_SPACING_S = RETRY_WINDOW_S + _MAX_DELIVERY_S


class StartRetries:
    """The retries that one lease holder allots to relays that start.

    Attributes
    ----------
    limit : int
        How many may be allotted in a window.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        # When each relay process got its retry, monotonic seconds.
        self._allotted_at: dict[str, float] = {}

    def allot(self, process: str, held_since: float | None, now: float) -> bool:
        """Allot a retry for each service to a relay process; return whether it has one.

        It gets no second one if it asks again because the reply was lost.

        Parameters
        ----------
        process : str
            Name and incarnation of the relay.
        held_since : float or None
            Since when the lease is held, monotonic seconds; None if nobody held it
            before.
        now : float
            Monotonic seconds.
        """
        self._allotted_at = {
            name: at for name, at in self._allotted_at.items() if now - at < _SPACING_S
        }
        if process in self._allotted_at:
            return True
        if held_since is not None and now - held_since < _SPACING_S:
            return False
        if len(self._allotted_at) >= self.limit:
            return False
        self._allotted_at[process] = now
        return True
