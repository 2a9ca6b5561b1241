"""Structured logs on standard error: short sentences with a prefix per part."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

from ebonydeal._internal.settings.sections import LogSettings


def _prefix(
    _logger: Any, _name: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Put the part's fixed prefix before the sentence."""
    part = event.pop("part", None)
    if part is not None:
        event["event"] = f"{part}: {event['event']}"
    return event


def configure_logs(cfg: LogSettings) -> None:
    """Set up structlog for the whole process."""
    level = logging.getLevelName(cfg.level.upper())
    renderer: Any = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    if cfg.format == "json":
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _prefix,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def get_logger(part: str) -> Any:
    """Return a logger whose sentences start with ``part``."""
    return structlog.get_logger(part=part)
