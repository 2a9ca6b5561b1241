"""Splits a stream of bytes into events."""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")


class EventSplitter:
    """Splits a stream of bytes at the ends of events."""

    def __init__(self) -> None:
        self._remainder = b""
        self.last_id = ""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes."""
        data = self._remainder + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
            self.count += 1
        complete, self._remainder = data[:end], data[end:]
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return complete

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._remainder

    def drop_remainder(self) -> None:
        """Discard an incomplete event."""
        self._remainder = b""
