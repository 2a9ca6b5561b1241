"""Pages from templates, escaped by default."""

import json
from datetime import UTC, datetime
from typing import Any

from aiohttp import web
from jinja2 import Environment, PackageLoader, StrictUndefined

from ebonydeal import __version__
from ebonydeal._internal.config.rows import PARSE_ERRORS
from ebonydeal._internal.console.sessions import SESSION


def _when(seconds: float) -> str:
    """Return wall clock seconds as a UTC time for people; "?" for what is none."""
    try:
        at = datetime.fromtimestamp(float(seconds), UTC)
    except PARSE_ERRORS + (OSError,):
        return "?"
    return at.strftime("%Y-%m-%d %H:%M:%S UTC")


def _as_json(value: Any) -> str:
    """Return a value as readable JSON."""
    return json.dumps(value, indent=2, ensure_ascii=False)


def _money(value: Any) -> str:
    """Return an amount with two decimals; a dash for what is none."""
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
    env.filters["when"] = _when
    env.filters["money"] = _money
    env.filters["as_json"] = _as_json
    env.globals["product_version"] = __version__
    return env


class Renderer:
    """Renders pages with what every page shows."""

    def __init__(self) -> None:
        self._env = _environment()

    def page(
        self, req: web.Request, name: str, *, status: int = 200, **values: Any
    ) -> web.Response:
        """Return a page.

        Parameters
        ----------
        req : web.Request
            Gives the session and the path.
        name : str
            Template without its ending.
        status : int
            HTTP status.
        values
            For the template.
        """
        text = self._env.get_template(f"{name}.html").render(
            session=req.get(SESSION), path=req.path, **values
        )
        return web.Response(text=text, status=status, content_type="text/html")
