"""How long the store may take to reply to a poll."""

MIN_REPLY_TIMEOUT_S = 0.5
_MAX_REPLY_TIMEOUT_S = 4.0
# A reply may take this many times as long as the last one.
_MARGIN = 2.0


class ReplyTimeout:
    """Timeout of a poll's reply, beyond the time for which the poll itself waits.

    It is short while the store replies fast, so that a connection that fell silent is
    noticed soon, and doubles with each poll that is lost, as the store may be slow.

    Attributes
    ----------
    seconds : float
        The timeout.
    """

    def __init__(self) -> None:
        self.seconds = MIN_REPLY_TIMEOUT_S

    def record_lost(self) -> None:
        """Record a poll without a reply."""
        self.seconds = min(_MAX_REPLY_TIMEOUT_S, self.seconds * 2.0)

    def record_reply(self, wait: float, took: float) -> None:
        """Record a reply that took ``took`` seconds to a poll that waits ``wait``.

        A poll that ended before its wait shows nothing of the store's speed.
        """
        if took >= wait:
            timeout = (took - wait) * _MARGIN
            self.seconds = min(_MAX_REPLY_TIMEOUT_S, max(MIN_REPLY_TIMEOUT_S, timeout))
