"""Bytes of answers that wait for a client to take them, and since when it took none."""


class UnsentBytes:
    """What a connection holds of answers, as it was last seen.

    Times are monotonic seconds, of any origin.

    Attributes
    ----------
    size : int
        Bytes that wait.
    """

    def __init__(self) -> None:
        self.size = 0
        # When the client last took some of them, or when they began to wait.
        self._since: float | None = None

    def record(self, size: int, now: float) -> None:
        """Record how many bytes wait.

        A change counts as progress, also where more bytes wait than before: the client
        may have taken some of them meanwhile.
        """
        if not size:
            self._since = None
        elif size != self.size or self._since is None:
            self._since = now
        self.size = size

    def not_taken_s(self, now: float) -> float:
        """Return for how long the client has taken no byte, seconds."""
        return 0.0 if self._since is None else now - self._since
