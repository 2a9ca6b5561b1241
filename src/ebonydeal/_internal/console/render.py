"""Rendering of pages from templates, with automatic escaping."""

import json
from datetime import UTC, datetime
from typing import Any

from aiohttp import web
from jinja2 import Environment, PackageLoader, StrictUndefined

from ebonydeal import __version__
from ebonydeal._internal.config.rows import PARSE_ERRORS
from ebonydeal._internal.console.sessions import SESSION


def _format_time(seconds: float) -> str:
    """Format seconds since 1970 as UTC; "?" if it is no valid time."""
    try:
        at = datetime.fromtimestamp(float(seconds), UTC)
    except PARSE_ERRORS + (OSError,):
        return "?"
    return at.strftime("%Y-%m-%d %H:%M:%S UTC")


def _format_json(value: Any) -> str:
    """Format a value as indented JSON."""
    return json.dumps(value, indent=2, ensure_ascii=False)


def _format_money(value: Any) -> str:
    """Format an amount with two decimals; a dash if it is no number."""
    return f"{value:,.2f}" if isinstance(value, int | float) else "–"


def _environment() -> Environment:
    """Return the template environment."""
    env = Environment(
        loader=PackageLoader("ebonydeal._internal.console"),
        autoescape=True,
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    env.filters["when"] = _format_time
    env.filters["money"] = _format_money
    env.filters["as_json"] = _format_json
    env.globals["product_version"] = __version__
    return env


class Renderer:
    """Renders pages, with the values that every page needs."""

    def __init__(self) -> None:
        self._env = _environment()

    def page(
        self, req: web.Request, name: str, *, status: int = 200, **values: Any
    ) -> web.Response:
        """Render a page.

        Parameters
        ----------
        req : web.Request
            Supplies the session and the path.
        name : str
            Template name without its extension.
        status : int
            HTTP status code.
        values
            Variables of the template.
        """
        text = self._env.get_template(f"{name}.html").render(
            session=req.get(SESSION), path=req.path, **values
        )
        return web.Response(text=text, status=status, content_type="text/html")
