"""Structured logs on standard output: short sentences with a prefix per part.

Their volume is bounded for each sentence, and a reader that is slow costs lines,
never time: what was left out is told by the next line that is written.
"""

import logging
import os
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO

import structlog

from ebonydeal._internal.settings.sections import LogSettings

# Lines a second of one sentence, and how many may come at once: enough for each
# request of a small node, and about 1 % of its processor time at the most.
_LINES_PER_S = 50.0
_LINES_AT_ONCE = 200.0
Event = MutableMapping[str, Any]


def _prefix(_logger: Any, _name: str, event: Event) -> Event:
    """Put the part's fixed prefix before the sentence."""
    part = event.pop("part", None)
    if part is not None:
        event["event"] = f"{part}: {event['event']}"
    return event


class LogRateLimiter:
    """Lets only so many lines of each sentence pass.

    Parameters
    ----------
    now : callable
        Returns monotonic seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._left: dict[str, tuple[float, float]] = {}
        self._dropped: dict[str, int] = {}

    def __call__(self, _logger: Any, _name: str, event: Event) -> Event:
        """Pass the line on with the count left out before it, or drop it."""
        sentence = str(event.get("event", ""))
        now = self._now()
        left, at = self._left.get(sentence, (_LINES_AT_ONCE, now))
        left = min(_LINES_AT_ONCE, left + (now - at) * _LINES_PER_S)
        if left < 1.0:
            self._left[sentence] = (left, now)
            self._dropped[sentence] = self._dropped.get(sentence, 0) + 1
            raise structlog.DropEvent
        self._left[sentence] = (left - 1.0, now)
        dropped = self._dropped.pop(sentence, 0)
        if dropped:
            event["left_out"] = dropped
        return event


class NonBlockingWriter:
    """Writes lines to a stream without ever waiting for its reader.

    Parameters
    ----------
    file : TextIO
        An open stream; a pipe or socket is set not to block.
    """

    def __init__(self, file: TextIO) -> None:
        self._fd = file.fileno()
        self._rest = b""
        self.lost = 0
        if not file.isatty() and not os.path.isfile(f"/dev/fd/{self._fd}"):
            os.set_blocking(self._fd, False)

    def write(self, text: str) -> None:
        """Write what fits; lines that don't are lost and counted."""
        if self._rest and not self._push(b""):
            self.lost += 1
            return
        self._push(text.encode("utf-8", "replace"))

    def _push(self, data: bytes) -> bool:
        """Write the rest of the last line and ``data``; return whether all went."""
        data = self._rest + data
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more.
            written = len(data)
        # A line that was begun is finished first, so none is ever torn.
        self._rest = data[written:]
        return not self._rest

    def flush(self) -> None:
        """Nothing is held back."""


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
        # A stream without a descriptor, as tests and notebooks have.
        target = out
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            _prefix,
            LogRateLimiter(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(target),
    )


def get_logger(part: str) -> Any:
    """Return a logger whose sentences start with ``part``."""
    return structlog.get_logger(part=part)
