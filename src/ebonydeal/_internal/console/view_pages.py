"""Read-only pages: status, lists, document, history, login."""

import random

from aiohttp import web

from ebonydeal._internal.config.delta import apply, differences, join
from ebonydeal._internal.console.parts import ConsoleParts
from ebonydeal._internal.console.posted import read_form
from ebonydeal._internal.console.simple_pages import version_from_path
from ebonydeal._internal.errors import EbonydealError, ErrorKind

_FAILED_LOGIN_DELAY_S = 1.0
_MAX_HISTORY_ROWS = 200


class ViewPages:
    """Handlers of the read-only pages."""

    def __init__(self, parts: ConsoleParts) -> None:
        self._parts = parts

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.get("/login", self._login_page),
            web.post("/login", self._login),
            web.post("/logout", self._logout),
            web.get("/", self._status),
            web.get("/{section:accounts|deployments}", self._items),
            web.get("/endpoints", self._endpoints),
            web.get("/explain", self._explain),
            web.get("/document", self._document),
            web.get("/history", self._history),
            web.get("/history/{version}", self._version),
        ]

    # --- session -----------------------------------------------------------------
    async def _login_page(self, req: web.Request) -> web.Response:
        return self._parts.render.page(req, "login", failed=False)

    async def _login(self, req: web.Request) -> web.Response:
        """Open a session for the operator whose token was posted."""
        token = (await read_form(req)).get("token", "")
        operator = self._parts.operators.by_token(token)
        if operator is None:
            self._parts.metrics.count_refusal(ErrorKind.UNAUTHORIZED)
            # The delay slows down guessing; the jitter only prevents bursts.
            await self._parts.clock.sleep(
                _FAILED_LOGIN_DELAY_S * _jitter(self._parts.rng)
            )
            return self._parts.render.page(req, "login", status=401, failed=True)
        resp = web.Response(status=303, headers={"Location": "/"})
        self._parts.sessions.open(resp, operator)
        return resp

    async def _logout(self, req: web.Request) -> web.Response:
        resp = web.Response(status=303, headers={"Location": "/login"})
        self._parts.sessions.close(resp)
        return resp

    # --- status ------------------------------------------------------------------
    async def _status(self, req: web.Request) -> web.Response:
        await self._parts.follower.try_refresh()
        status = await self._parts.status.read()
        return self._parts.render.page(req, "status", status_now=status)

    async def _endpoints(self, req: web.Request) -> web.Response:
        try:
            views = await self._parts.status.endpoints()
            missing = ""
        except EbonydealError as exc:
            views, missing = [], f"instance list: {exc.detail or exc.kind}"
        views.sort(key=lambda view: (view.deployment, view.place, view.endpoint_id))
        return self._parts.render.page(req, "endpoints", views=views, missing=missing)

    async def _explain(self, req: web.Request) -> web.Response:
        request_id = req.query.get("id", "").strip()
        steps = None
        if request_id:
            steps = await self._parts.status.explain(request_id)
        return self._parts.render.page(
            req, "explain", request_id=request_id, steps=steps
        )

    # --- configuration -------------------------------------------------------------
    async def _items(self, req: web.Request) -> web.Response:
        content = await self._parts.current_content()
        section = req.match_info["section"]
        return self._parts.render.page(
            req,
            "items",
            section=section,
            version=content.version,
            items=join(content.items)[section],
            currency=self._parts.status.currency,
        )

    async def _document(self, req: web.Request) -> web.Response:
        content = await self._parts.current_content()
        return self._parts.render.page(
            req, "document", version=content.version, document=join(content.items)
        )

    async def _history(self, req: web.Request) -> web.Response:
        infos = await self._parts.store.history(_MAX_HISTORY_ROWS)
        return self._parts.render.page(req, "history", infos=infos)

    async def _version(self, req: web.Request) -> web.Response:
        version = version_from_path(req)
        info = await self._parts.store.version(version)
        before = (await self._parts.store.load(version - 1)).items
        return self._parts.render.page(
            req,
            "version",
            info=info,
            lines=differences(before, apply(before, info.delta)),
            head=(await self._parts.current_content()).version,
            accepted="accepted" in req.query,
        )


def _jitter(rng: random.Random) -> float:
    """Return a random factor around one."""
    return rng.uniform(0.5, 1.5)
