"""Structured logs on standard output: short messages prefixed with their component.

Each message is rate limited, and its next line says how many were dropped. If the
reader of the output is slow, lines are lost, but the program never blocks.
"""

import logging
import os
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO

import structlog

from ebonydeal._internal.settings.sections import LogSettings

# Rate limit and burst of one message: enough for a line per request of a small node,
# and at most about 1 % of its processor time.
_MAX_LINES_PER_S = 50.0
_MAX_BURST_LINES = 200.0
LogEvent = MutableMapping[str, Any]


def _add_component(_logger: Any, _name: str, event: LogEvent) -> LogEvent:
    """Prefix the message with the component."""
    component = event.pop("part", None)
    if component is not None:
        event["event"] = f"{component}: {event['event']}"
    return event


class LogRateLimiter:
    """Limits the rate of each log message with a token bucket.

    Parameters
    ----------
    now : callable
        Returns monotonic seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._buckets: dict[str, tuple[float, float]] = {}
        self._dropped: dict[str, int] = {}

    def __call__(self, _logger: Any, _name: str, event: LogEvent) -> LogEvent:
        """Return the event with the number of lines dropped before it, or drop it."""
        message = str(event.get("event", ""))
        now = self._now()
        available, updated_at = self._buckets.get(message, (_MAX_BURST_LINES, now))
        available = min(
            _MAX_BURST_LINES, available + (now - updated_at) * _MAX_LINES_PER_S
        )
        if available < 1.0:
            self._buckets[message] = (available, now)
            self._dropped[message] = self._dropped.get(message, 0) + 1
            raise structlog.DropEvent
        self._buckets[message] = (available - 1.0, now)
        dropped = self._dropped.pop(message, 0)
        if dropped:
            event["left_out"] = dropped
        return event


class NonBlockingWriter:
    """Writes lines to a stream without ever blocking on its reader.

    Parameters
    ----------
    file : TextIO
        An open stream; a pipe or socket is set to non-blocking mode.
    """

    def __init__(self, file: TextIO) -> None:
        self._fd = file.fileno()
        self._pending = b""
        self.lost_lines = 0
        if not file.isatty() and not os.path.isfile(f"/dev/fd/{self._fd}"):
            os.set_blocking(self._fd, False)

    def write(self, text: str) -> None:
        """Write a line; if the reader is too slow, drop and count it."""
        if self._pending and not self._write_pending(b""):
            self.lost_lines += 1
            return
        self._write_pending(text.encode("utf-8", "replace"))

    def _write_pending(self, data: bytes) -> bool:
        """Write pending bytes, then ``data``; return whether everything was written."""
        data = self._pending + data
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the stream.
            written = len(data)
        # The rest of a partly written line is written first, so lines stay whole.
        self._pending = data[written:]
        return not self._pending

    def flush(self) -> None:
        """Do nothing; each line is written at once."""


def configure_logs(cfg: LogSettings, file: TextIO | None = None) -> None:
    """Set up structlog for the whole process, on standard output."""
    out = file or sys.stdout
    level = logging.getLevelName(cfg.level.upper())
    renderer: Any = structlog.dev.ConsoleRenderer(colors=out.isatty())
    if cfg.format == "json":
        renderer = structlog.processors.JSONRenderer()
    target: Any = out
    try:
        target = NonBlockingWriter(out)
    except (OSError, ValueError):
        # The stream has no file descriptor, as in tests and notebooks.
        target = out
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            _add_component,
            LogRateLimiter(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(target),
    )


def get_logger(component: str) -> Any:
    """Return a logger whose messages are prefixed with ``component``."""
    return structlog.get_logger(part=component)
