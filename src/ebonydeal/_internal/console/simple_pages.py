"""Removal, whole document and roll forward: edits without a form of fields."""

from typing import Any

from aiohttp import web

from ebonydeal._internal.config.delta import ItemKey, join
from ebonydeal._internal.config.problems import Problem
from ebonydeal._internal.config.rows import Content
from ebonydeal._internal.config.store import Conflict
from ebonydeal._internal.console.edits import (
    Edit,
    PutDocument,
    RemoveItem,
    RollForward,
    edit_words,
    edited,
)
from ebonydeal._internal.console.parts import ConsoleParts
from ebonydeal._internal.console.posted import Posted
from ebonydeal._internal.console.proposing import Proposer, Step, problems_of
from ebonydeal._internal.errors import EbonydealError, ErrorKind


class SimplePages:
    """Handlers of edits that go straight to their preview."""

    def __init__(self, parts: ConsoleParts) -> None:
        self._parts = parts
        self._proposer = Proposer(parts)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        section = "{section:accounts|deployments}"
        return [
            web.get(f"/remove/{section}/{{name}}", self._remove_page),
            web.post(f"/remove/{section}/{{name}}", self._post_remove),
            web.get("/document/edit", self._document_page),
            web.post("/document/edit", self._post_document),
            web.get("/roll-forward/{version}", self._roll_page),
            web.post("/roll-forward/{version}", self._post_roll),
        ]

    async def _remove_page(self, req: web.Request) -> web.Response:
        """Preview a removal."""
        content = await self._parts.current()
        edit = RemoveItem(req.match_info["section"], req.match_info["name"])
        if ItemKey(edit.section, edit.name) not in content.items:
            raise EbonydealError(ErrorKind.NOT_FOUND, f"No {edit.name} is there.")
        return await self._show_simple(req, content, edit)

    async def _post_remove(self, req: web.Request) -> web.Response:
        edit = RemoveItem(req.match_info["section"], req.match_info["name"])
        return await self._post_simple(req, edit)

    async def _roll_page(self, req: web.Request) -> web.Response:
        """Preview an older content as a new version."""
        edit = RollForward(await self._parts.store.load(version_of(req)))
        return await self._show_simple(req, await self._parts.current(), edit)

    async def _post_roll(self, req: web.Request) -> web.Response:
        edit = RollForward(await self._parts.store.load(version_of(req)))
        return await self._post_simple(req, edit)

    async def _document_page(self, req: web.Request) -> web.Response:
        """Show the whole document as text to change."""
        content = await self._parts.current()
        return self._document_form(req, content.version, join(content.items), [])

    async def _post_document(self, req: web.Request) -> web.Response:
        posted = await Posted.read(req)
        text = posted.data.get("text", "")
        if posted.action == "back":
            return self._document_form(req, posted.base, text, [])
        return await self._post_simple(req, PutDocument(text))

    def _document_form(
        self, req: web.Request, base: int, shown: Any, problems: list[Problem]
    ) -> web.Response:
        return self._parts.render.page(
            req,
            "document_form",
            status=422 if problems else 200,
            base=base,
            shown=shown,
            problems=problems,
        )

    async def _show_simple(
        self,
        req: web.Request,
        base: Content,
        edit: Edit,
        conflict: Conflict | None = None,
        posted: Posted | None = None,
    ) -> web.Response:
        """Show the preview of an edit that has no form of its own."""
        document = edited(base, edit)
        offers = await self._parts.try_offers()
        problems = problems_of(document, offers)
        if problems:
            return self._refused(req, base, edit, problems)
        note = posted.note if posted else ""
        carried = posted.carried() if posted else []
        blank = Posted.blank(base.version, note)
        step = Step(req, base, edit, document, offers, blank, carried)
        return self._proposer.preview(step, conflict)

    async def _post_simple(self, req: web.Request, edit: Edit) -> web.Response:
        """Preview or accept an edit that has no form of its own."""
        posted = await Posted.read(req)
        base = await self._parts.at(posted.base)
        try:
            document = edited(base, edit)
        except ValueError as exc:
            problem = Problem((), f"The text is not JSON: {exc}.")
            return self._refused(req, base, edit, [problem])
        offers = await self._parts.try_offers()
        problems = problems_of(document, offers, posted.action)
        if problems:
            return self._refused(req, base, edit, problems)
        step = Step(req, base, edit, document, offers, posted, posted.carried())
        outcome = await self._proposer.preview_or_accept(step)
        match outcome:
            case Conflict():
                head = await self._parts.at(outcome.head)
                return await self._show_simple(req, head, edit, outcome, posted)
            case list():
                return self._refused(req, base, edit, outcome)
        return outcome

    def _refused(
        self, req: web.Request, base: Content, edit: Edit, problems: list[Problem]
    ) -> web.Response:
        """Show why an edit without a form of its own can't be."""
        if isinstance(edit, PutDocument):
            return self._document_form(req, base.version, edit.text, problems)
        return self._parts.render.page(
            req, "refused", status=422, problems=problems, edit=edit_words(edit)
        )


def version_of(req: web.Request) -> int:
    """Return the version that the path names; raises NOT_FOUND."""
    try:
        return int(req.match_info["version"])
    except ValueError as exc:
        raise EbonydealError(ErrorKind.NOT_FOUND, "There is no such version.") from exc
