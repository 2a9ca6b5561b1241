"""Pages of an account's or a deployment's form."""

from typing import Any

from aiohttp import web

from ebonydeal._internal.config.delta import ItemKey, join
from ebonydeal._internal.config.problems import Problem
from ebonydeal._internal.config.rows import Content
from ebonydeal._internal.config.store import Conflict
from ebonydeal._internal.console.edits import PutItem, index_of, own_problems
from ebonydeal._internal.console.forms import (
    FORMS,
    AccountForm,
    DeploymentForm,
    ItemForm,
)
from ebonydeal._internal.console.merge import Merged, merge
from ebonydeal._internal.console.parts import ConsoleParts
from ebonydeal._internal.console.posted import FormData
from ebonydeal._internal.errors import EbonydealError, ErrorKind


class ItemFormView:
    """Makes and shows forms of items."""

    def __init__(self, parts: ConsoleParts) -> None:
        self._parts = parts

    def fresh(self, req: web.Request, content: Content) -> web.Response:
        """Show the form of a new item, or of one that is there."""
        section, name = _place(req)
        item = content.items.get(ItemKey(section, name), {})
        if name and not item:
            raise EbonydealError(ErrorKind.NOT_FOUND, f"No {name} is there.")
        return self._page(req, content, FORMS[section].show(item))

    def posted(self, req: web.Request, data: FormData) -> ItemForm:
        """Return the form as it was posted, read field by field."""
        form = FORMS[_place(req)[0]](data)
        form.validate()
        if isinstance(form, AccountForm):
            form.keep_new_key()
        return form

    def edit(self, req: web.Request, base: Content, form: ItemForm) -> PutItem:
        """Return the change that a posted form asks for."""
        section, original = _place(req)
        before = base.items.get(ItemKey(section, original), {})
        return PutItem(section, original, form.item(before))

    def carried(
        self, form: ItemForm, fields: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Return the fields for hidden inputs, never a key in clear."""
        if not isinstance(form, AccountForm):
            return fields
        kept = [pair for pair in fields if pair[0] not in ("new_key", "key_hashes")]
        return [*kept, ("key_hashes", "\n".join(form.key_hashes.data or ()))]

    def again(
        self,
        req: web.Request,
        base: Content,
        form: ItemForm,
        problems: list[Problem],
        document: dict[str, Any],
        edit: PutItem,
    ) -> web.Response:
        """Show the posted form, with each reason beside its field."""
        own, others = own_problems(problems, edit.section, index_of(document, edit))
        others = [*form.blame(own), *others]
        status = 422 if form.errors or others else 200
        return self._page(req, base, form, problems=others, status=status)

    async def overtaken(
        self, req: web.Request, base: Content, mine: PutItem, conflict: Conflict
    ) -> web.Response:
        """Show the form on top of what another operator changed meanwhile."""
        head = await self._parts.at(conflict.head)
        key = ItemKey(mine.section, mine.original)
        merged = Merged(mine.value, ())
        if key in base.items and key in head.items:
            merged = merge(base.items[key], mine.value, head.items[key])
        form = FORMS[mine.section].show(merged.item)
        return self._page(
            req, head, form, conflict=conflict, clashes=merged.clashes, status=409
        )

    def _page(
        self,
        req: web.Request,
        content: Content,
        form: ItemForm,
        *,
        problems: list[Problem] | None = None,
        conflict: Conflict | None = None,
        clashes: tuple[str, ...] = (),
        status: int = 200,
    ) -> web.Response:
        section, name = _place(req)
        if isinstance(form, DeploymentForm):
            form.offer(join(content.items))
        return self._parts.render.page(
            req,
            "item_form",
            status=status,
            section=section,
            item_name=name,
            form=form,
            base=content.version,
            problems=problems or [],
            conflict=conflict,
            clashes=clashes,
        )


def _place(req: web.Request) -> tuple[str, str]:
    """Return the section and the item's name (empty for a new one)."""
    return req.match_info["section"], req.match_info.get("name", "")
