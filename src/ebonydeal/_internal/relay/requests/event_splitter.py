"""Splits a stream of bytes into events."""

import re

from ebonydeal._internal.relay.requests.answer_memory import HeldAnswer

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")


class EventSplitter:
    """Splits a stream of bytes at the ends of events.

    Parameters
    ----------
    held : HeldAnswer, optional
        Accounts for the bytes of an incomplete event.
    """

    def __init__(self, held: HeldAnswer | None = None) -> None:
        self._held = held
        self._remainder = bytearray()
        self.last_id = ""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes.

        Raises EndlessAnswerError if an incomplete event is too large.
        """
        # The end of an event may have begun in earlier data.
        searched = max(0, len(self._remainder) - _MAX_END_BYTES + 1)
        self._remainder += data
        end = 0
        for match in _EVENT_END.finditer(self._remainder, searched):
            end = match.end()
            self.count += 1
        complete = bytes(self._remainder[:end])
        del self._remainder[:end]
        self._account()
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return complete

    def _account(self) -> None:
        if self._held is not None:
            self._held.resize(len(self._remainder))

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._remainder)

    def drop_remainder(self) -> None:
        """Discard an incomplete event."""
        self._remainder.clear()
        self._account()
