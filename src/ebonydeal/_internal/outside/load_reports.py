"""Load reports that endpoints send in their answers."""

import json
from collections.abc import Callable, Mapping
from typing import Any

from ebonydeal._internal.models.endpoints import EndpointView, LoadReport
from ebonydeal._internal.outside.http import LOAD_HEADER

LoadListener = Callable[[str, LoadReport], None]


def read_load(message: Any) -> LoadReport | None:
    """Return a load report, or None if it is malformed."""
    try:
        return LoadReport.from_message(message)
    except (KeyError, TypeError, ValueError):
        return None


def report_load(
    listener: LoadListener | None, endpoint: EndpointView, message: Any
) -> None:
    """Pass a load report to ``listener``; ignore a malformed one."""
    load = read_load(message)
    if listener is not None and load is not None:
        listener(endpoint.endpoint_id, load)


def report_load_header(
    listener: LoadListener | None, endpoint: EndpointView, headers: Mapping[str, str]
) -> None:
    """Pass the load report in ``X-Engine-Load``, if any, to ``listener``."""
    text = headers.get(LOAD_HEADER)
    if text is None:
        return
    try:
        message = json.loads(text)
    except (ValueError, RecursionError):
        return
    report_load(listener, endpoint, message)
