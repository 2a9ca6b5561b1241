"""How long the store may take to reply to a poll."""

from ebonydeal._internal.relay.view.slow_store import MAX_REPLY_TIMEOUT_S

MIN_REPLY_TIMEOUT_S = 0.5
# After lost polls. The store may be back since the last one began, and changes made
# since then aren't read before it ends.
MAX_LOST_TIMEOUT_S = 1.0
# A reply may take this many times as long as the last one.
_MARGIN = 2.0


class ReplyTimeout:
    """Timeout of a poll's reply, beyond the time for which the poll itself waits.

    It is short while the store replies fast, so that a connection that fell silent is
    noticed soon, and longer after a poll that is lost. Only replies of a slow store
    make it longer still.

    Attributes
    ----------
    seconds : float
        The timeout.
    """

    def __init__(self) -> None:
        self.seconds = MIN_REPLY_TIMEOUT_S

    def record_lost(self) -> None:
        """Record a poll without a reply."""
        self.seconds = min(MAX_LOST_TIMEOUT_S, self.seconds * 2.0)

    def record_reply(self, wait: float, took: float) -> None:
        """Record a reply that took ``took`` seconds to a poll that waits ``wait``.

        A poll that ended before its wait shows nothing of the store's speed.
        """
        if took >= wait:
            timeout = (took - wait) * _MARGIN
            self.seconds = min(MAX_REPLY_TIMEOUT_S, max(MIN_REPLY_TIMEOUT_S, timeout))
