"""Pages of edits without form fields: remove, replace document, roll forward."""

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
    apply_edit,
    describe_edit,
)
from ebonydeal._internal.console.parts import ConsoleParts
from ebonydeal._internal.console.posted import PostedForm
from ebonydeal._internal.console.proposing import PendingEdit, Proposer, find_problems
from ebonydeal._internal.errors import EbonydealError, ErrorKind


class SimplePages:
    """Handlers of edits that need no item form before their preview."""

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
            web.get("/roll-forward/{version}", self._roll_forward_page),
            web.post("/roll-forward/{version}", self._post_roll_forward),
        ]

    async def _remove_page(self, req: web.Request) -> web.Response:
        """Preview a removal."""
        content = await self._parts.current_content()
        edit = RemoveItem(req.match_info["section"], req.match_info["name"])
        if ItemKey(edit.section, edit.name) not in content.items:
            raise EbonydealError(
                ErrorKind.NOT_FOUND, f"There is no item named '{edit.name}'."
            )
        return await self._show_preview(req, content, edit)

    async def _post_remove(self, req: web.Request) -> web.Response:
        edit = RemoveItem(req.match_info["section"], req.match_info["name"])
        return await self._post_edit(req, edit)

    async def _roll_forward_page(self, req: web.Request) -> web.Response:
        """Preview the content of an older version as a new version."""
        edit = RollForward(await self._parts.store.load(version_from_path(req)))
        return await self._show_preview(req, await self._parts.current_content(), edit)

    async def _post_roll_forward(self, req: web.Request) -> web.Response:
        edit = RollForward(await self._parts.store.load(version_from_path(req)))
        return await self._post_edit(req, edit)

    async def _document_page(self, req: web.Request) -> web.Response:
        """Show the whole document as editable text."""
        content = await self._parts.current_content()
        return self._document_form(req, content.version, join(content.items), [])

    async def _post_document(self, req: web.Request) -> web.Response:
        posted = await PostedForm.read(req)
        text = posted.data.get("text", "")
        if posted.action == "back":
            return self._document_form(req, posted.base, text, [])
        return await self._post_edit(req, PutDocument(text))

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

    async def _show_preview(
        self,
        req: web.Request,
        base: Content,
        edit: Edit,
        conflict: Conflict | None = None,
        posted: PostedForm | None = None,
    ) -> web.Response:
        """Preview an edit that has no item form."""
        document = apply_edit(base, edit)
        offers = await self._parts.try_offers()
        problems = find_problems(document, offers)
        if problems:
            return self._show_problems(req, base, edit, problems)
        note = posted.note if posted else ""
        hidden_fields = posted.hidden_fields() if posted else []
        blank = PostedForm.blank(base.version, note)
        pending = PendingEdit(req, base, edit, document, offers, blank, hidden_fields)
        return self._proposer.preview(pending, conflict)

    async def _post_edit(self, req: web.Request, edit: Edit) -> web.Response:
        """Preview or accept a posted edit that has no item form."""
        posted = await PostedForm.read(req)
        base = await self._parts.content_at(posted.base)
        try:
            document = apply_edit(base, edit)
        except ValueError as exc:
            problem = Problem((), f"The text is not JSON: {exc}.")
            return self._show_problems(req, base, edit, [problem])
        offers = await self._parts.try_offers()
        problems = find_problems(document, offers, posted.action)
        if problems:
            return self._show_problems(req, base, edit, problems)
        pending = PendingEdit(
            req, base, edit, document, offers, posted, posted.hidden_fields()
        )
        outcome = await self._proposer.preview_or_accept(pending)
        match outcome:
            case Conflict():
                head = await self._parts.content_at(outcome.head)
                return await self._show_preview(req, head, edit, outcome, posted)
            case list():
                return self._show_problems(req, base, edit, outcome)
        return outcome

    def _show_problems(
        self, req: web.Request, base: Content, edit: Edit, problems: list[Problem]
    ) -> web.Response:
        """Show why an edit that has no item form was refused."""
        if isinstance(edit, PutDocument):
            return self._document_form(req, base.version, edit.text, problems)
        return self._parts.render.page(
            req, "refused", status=422, problems=problems, edit=describe_edit(edit)
        )


def version_from_path(req: web.Request) -> int:
    """Return the version number in the path; raises NOT_FOUND."""
    try:
        return int(req.match_info["version"])
    except ValueError as exc:
        raise EbonydealError(ErrorKind.NOT_FOUND, "There is no such version.") from exc
