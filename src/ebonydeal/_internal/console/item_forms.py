"""Form pages of accounts and deployments."""

from typing import Any

from aiohttp import web

from ebonydeal._internal.config.delta import ItemKey, join
from ebonydeal._internal.config.problems import Problem
from ebonydeal._internal.config.rows import Content
from ebonydeal._internal.config.store import Conflict
from ebonydeal._internal.console.edits import PutItem, edited_item_index, split_problems
from ebonydeal._internal.console.forms import (
    FORMS,
    AccountForm,
    DeploymentForm,
    ItemForm,
)
from ebonydeal._internal.console.merge import MergeResult, merge
from ebonydeal._internal.console.parts import ConsoleParts
from ebonydeal._internal.console.posted import FormData
from ebonydeal._internal.errors import EbonydealError, ErrorKind


class ItemFormView:
    """Reads and renders forms of items."""

    def __init__(self, parts: ConsoleParts) -> None:
        self._parts = parts

    def show_item(self, req: web.Request, content: Content) -> web.Response:
        """Show the form of a new or existing item."""
        section, name = _path_target(req)
        item = content.items.get(ItemKey(section, name), {})
        if name and not item:
            raise EbonydealError(
                ErrorKind.NOT_FOUND, f"There is no item named '{name}'."
            )
        return self._page(req, content, FORMS[section].from_item(item))

    def read_posted(self, req: web.Request, data: FormData) -> ItemForm:
        """Return the posted form, validated field by field."""
        form = FORMS[_path_target(req)[0]](data)
        form.validate()
        if isinstance(form, AccountForm):
            form.hash_new_key()
        return form

    def build_edit(self, req: web.Request, base: Content, form: ItemForm) -> PutItem:
        """Return the edit that a posted form requests."""
        section, original_name = _path_target(req)
        before = base.items.get(ItemKey(section, original_name), {})
        return PutItem(section, original_name, form.to_item(before))

    def hidden_fields(
        self, form: ItemForm, fields: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Return the fields for hidden inputs, without a key in clear text."""
        if not isinstance(form, AccountForm):
            return fields
        kept = [pair for pair in fields if pair[0] not in ("new_key", "key_hashes")]
        return [*kept, ("key_hashes", "\n".join(form.key_hashes.data or ()))]

    def show_posted(
        self,
        req: web.Request,
        base: Content,
        form: ItemForm,
        problems: list[Problem],
        document: dict[str, Any],
        edit: PutItem,
    ) -> web.Response:
        """Show the posted form, with each problem at its field."""
        own, others = split_problems(
            problems, edit.section, edited_item_index(document, edit)
        )
        others = [*form.assign_problems(own), *others]
        status = 422 if form.errors or others else 200
        return self._page(req, base, form, problems=others, status=status)

    async def show_conflict(
        self, req: web.Request, base: Content, mine: PutItem, conflict: Conflict
    ) -> web.Response:
        """Show the form merged with what another operator changed meanwhile."""
        head = await self._parts.content_at(conflict.head)
        key = ItemKey(mine.section, mine.original_name)
        merged = MergeResult(mine.value, ())
        if key in base.items and key in head.items:
            merged = merge(base.items[key], mine.value, head.items[key])
        form = FORMS[mine.section].from_item(merged.item)
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
        section, name = _path_target(req)
        if isinstance(form, DeploymentForm):
            form.set_choices(join(content.items))
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


def _path_target(req: web.Request) -> tuple[str, str]:
    """Return the section and the item's name (empty for a new one)."""
    return req.match_info["section"], req.match_info.get("name", "")
