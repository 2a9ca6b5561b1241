"""Create, change and remove: form, preview, acceptance or reasons."""

from typing import Any, NamedTuple

from aiohttp import web
from multidict import MultiDict, MultiDictProxy
from returns.result import Failure, Success

from ebonydeal._internal.config.delta import ItemKey, differences, join, split
from ebonydeal._internal.config.problems import Problem
from ebonydeal._internal.config.rows import Content
from ebonydeal._internal.config.store import Conflict
from ebonydeal._internal.config.validate import validate
from ebonydeal._internal.console.edits import (
    Edit,
    PutDocument,
    PutItem,
    RemoveItem,
    RollForward,
    edited,
)
from ebonydeal._internal.console.item_forms import ItemFormView
from ebonydeal._internal.console.parts import ConsoleParts, operator_of
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.platform.interfaces import Offer

_NOT_CARRIED = ("csrf", "action", "base", "proposal", "note")
_MAX_NOTE = 500


class Posted(NamedTuple):
    """What every form of the console posts beside its own fields."""

    data: MultiDictProxy[Any]
    action: str
    base: int
    proposal: str
    note: str

    @classmethod
    async def read(cls, req: web.Request) -> "Posted":
        """Read a posted form; raises BAD_REQUEST."""
        data = await req.post()
        try:
            base = int(str(data.get("base", "")))
        except ValueError as exc:
            raise EbonydealError(
                ErrorKind.BAD_REQUEST, "The form has no base version."
            ) from exc
        return cls(
            data=data,
            action=str(data.get("action", "preview")),
            base=base,
            proposal=str(data.get("proposal", "")),
            note=str(data.get("note", ""))[:_MAX_NOTE],
        )

    def carried(self) -> list[tuple[str, str]]:
        """Return the form's own fields, for hidden inputs."""
        return [
            (name, str(value))
            for name, value in self.data.items()
            if name not in _NOT_CARRIED
        ]


class EditPages:
    """Handlers of everything that changes the document.

    A page carries all of its inputs and the version they were made from, so
    that any console instance can go on with it.
    """

    def __init__(self, parts: ConsoleParts) -> None:
        self._parts = parts
        self._items = ItemFormView(parts)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        section = "{section:accounts|deployments}"
        return [
            web.get(f"/add/{section}", self._item_page),
            web.post(f"/add/{section}", self._post_item),
            web.get(f"/edit/{section}/{{name}}", self._item_page),
            web.post(f"/edit/{section}/{{name}}", self._post_item),
            web.get(f"/remove/{section}/{{name}}", self._remove_page),
            web.post(f"/remove/{section}/{{name}}", self._post_remove),
            web.get("/document/edit", self._document_page),
            web.post("/document/edit", self._post_document),
            web.get("/roll-forward/{version}", self._roll_page),
            web.post("/roll-forward/{version}", self._post_roll),
        ]

    # --- forms of items -------------------------------------------------------
    async def _item_page(self, req: web.Request) -> web.Response:
        """Show the form of a new or present item."""
        return self._items.fresh(req, await self._parts.current())

    async def _post_item(self, req: web.Request) -> web.Response:
        """Preview or accept an item's form, or show it again."""
        posted = await Posted.read(req)
        base = await self._parts.at(posted.base)
        form = self._items.posted(req, posted.data)
        edit = self._items.edit(req, base, form)
        document = edited(base, edit)
        offers = await self._parts.try_offers()
        problems = _problems(document, offers)
        if form.errors or problems or posted.action == "back":
            return self._items.again(req, base, form, problems, document, edit)
        carried = self._items.carried(form, posted.carried())
        page = _Step(req, base, edit, document, offers, posted, carried)
        outcome = await self._preview_or_accept(page)
        match outcome:
            case Conflict():
                return await self._items.overtaken(req, base, edit, outcome)
            case list():
                return self._items.again(req, base, form, outcome, document, edit)
        return outcome

    # --- removal, whole document, roll forward ---------------------------------
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
        edit = RollForward(await self._parts.store.load(_version(req)))
        return await self._show_simple(req, await self._parts.current(), edit)

    async def _post_roll(self, req: web.Request) -> web.Response:
        edit = RollForward(await self._parts.store.load(_version(req)))
        return await self._post_simple(req, edit)

    async def _document_page(self, req: web.Request) -> web.Response:
        """Show the whole document as text to change."""
        content = await self._parts.current()
        return self._document_form(req, content.version, join(content.items), [])

    async def _post_document(self, req: web.Request) -> web.Response:
        posted = await Posted.read(req)
        text = str(posted.data.get("text", ""))
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
        problems = _problems(document, offers)
        if problems:
            return self._refused(req, base, edit, problems)
        note = posted.note if posted else ""
        carried = posted.carried() if posted else []
        empty: MultiDict[Any] = MultiDict()
        blank = Posted(MultiDictProxy(empty), "preview", base.version, "", note)
        page = _Step(req, base, edit, document, offers, blank, carried)
        return self._preview(page, conflict)

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
        problems = _problems(document, offers)
        if problems:
            return self._refused(req, base, edit, problems)
        page = _Step(req, base, edit, document, offers, posted, posted.carried())
        outcome = await self._preview_or_accept(page)
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
            req, "refused", status=422, problems=problems, edit=_words(edit)
        )

    # --- preview and acceptance ----------------------------------------------
    async def _preview_or_accept(
        self, page: "_Step"
    ) -> web.Response | Conflict | list[Problem]:
        """Do what the posted button says."""
        if page.posted.action == "accept":
            return await self._accept(page)
        return self._preview(page, None)

    def _preview(self, page: "_Step", conflict: Conflict | None) -> web.Response:
        """Show the document and the diff that acceptance would bring."""
        lines = differences(page.base.items, split(page.document))
        return self._parts.render.page(
            page.req,
            "preview",
            status=409 if conflict else 200,
            base=page.base.version,
            lines=lines,
            document=page.document,
            carried=page.carried,
            proposal=self._parts.store.new_proposal(),
            note=page.posted.note,
            conflict=conflict,
            prices_checked=page.offers is not None,
            edit=_words(page.edit),
            can_go_back=isinstance(page.edit, PutItem | PutDocument),
        )

    async def _accept(self, page: "_Step") -> web.Response | Conflict | list[Problem]:
        """Propose the document."""
        posted = page.posted
        try:
            result = await self._parts.store.propose(
                page.document,
                posted.base,
                operator_of(page.req),
                posted.note or _words(page.edit),
                offers=page.offers,
                proposal=posted.proposal or None,
            )
        except EbonydealError as exc:
            return self._no_word(page, exc)
        match result:
            case Success(version):
                await self._parts.follower.try_refresh()
                location = f"/history/{version}?accepted=1"
                return web.Response(status=303, headers={"Location": location})
            case Failure(refusal):
                return refusal
        raise EbonydealError(ErrorKind.INTERNAL, "no outcome")

    def _no_word(self, page: "_Step", exc: EbonydealError) -> web.Response:
        """Say what is known, and offer to ask again under the same id."""
        self._parts.metrics.refused(exc.kind)
        return self._parts.render.page(
            page.req,
            "no_word",
            status=exc.answer.status,
            in_doubt=exc.kind == ErrorKind.STORE_IN_DOUBT,
            detail=exc.detail,
            base=page.posted.base,
            carried=page.carried,
            proposal=page.posted.proposal,
            note=page.posted.note,
        )


class _Step(NamedTuple):
    """One sound edit on its way from the form to acceptance."""

    req: web.Request
    base: Content
    edit: Edit
    document: Any
    offers: list[Offer] | None
    posted: Posted
    carried: list[tuple[str, str]]


def _problems(document: Any, offers: list[Offer] | None) -> list[Problem]:
    """Return every problem of a document."""
    checked = validate(document, offers)
    return checked.failure() if isinstance(checked, Failure) else []


def _version(req: web.Request) -> int:
    """Return the version that the path names; raises NOT_FOUND."""
    try:
        return int(req.match_info["version"])
    except ValueError as exc:
        raise EbonydealError(ErrorKind.NOT_FOUND, "There is no such version.") from exc


def _words(edit: Edit) -> str:
    """Say what an edit does, for headings and the history."""
    match edit:
        case PutItem(section=section, original="", value=value):
            return f"Add {section[:-1]} {value.get('name', '')}"
        case PutItem(section=section, original=original):
            return f"Change {section[:-1]} {original}"
        case RemoveItem(section=section, name=name):
            return f"Remove {section[:-1]} {name}"
        case RollForward(old=old):
            return f"Roll forward to the content of version {old.version}"
    return "Change the whole document"
