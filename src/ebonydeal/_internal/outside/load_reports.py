"""Load reports that ride on endpoints' answers."""

import json
from collections.abc import Callable, Mapping
from typing import Any

from ebonydeal._internal.models.endpoints import EndpointView, LoadReport
from ebonydeal._internal.outside.http import LOAD_HEADER

LoadListener = Callable[[str, LoadReport], None]


def read_load(message: Any) -> LoadReport | None:
    """Return a load report, or None where it can't be read."""
    try:
        return LoadReport.from_message(message)
    except (KeyError, TypeError, ValueError):
        return None


def report_load(
    listener: LoadListener | None, endpoint: EndpointView, message: Any
) -> None:
    """Pass a report on to ``listener``; a garbled one is no reason to fail."""
    load = read_load(message)
    if listener is not None and load is not None:
        listener(endpoint.endpoint_id, load)


def report_load_header(
    listener: LoadListener | None, endpoint: EndpointView, headers: Mapping[str, str]
) -> None:
    """Pass on the report in ``X-Engine-Load``, if any."""
    text = headers.get(LOAD_HEADER)
    if text is None:
        return
    try:
        message = json.loads(text)
    except (ValueError, RecursionError):
        return
    report_load(listener, endpoint, message)
