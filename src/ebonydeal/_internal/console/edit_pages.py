"""Accounts and deployments: form, preview, acceptance or reasons."""

from aiohttp import web

from ebonydeal._internal.config.store import Conflict
from ebonydeal._internal.console.edits import edited
from ebonydeal._internal.console.item_forms import ItemFormView
from ebonydeal._internal.console.parts import ConsoleParts
from ebonydeal._internal.console.posted import Posted
from ebonydeal._internal.console.proposing import Proposer, Step, problems_of


class EditPages:
    """Handlers of the forms of items.

    A page carries all of its inputs and the version they were made from, so
    that any console instance can go on with it.
    """

    def __init__(self, parts: ConsoleParts) -> None:
        self._parts = parts
        self._items = ItemFormView(parts)
        self._proposer = Proposer(parts)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        section = "{section:accounts|deployments}"
        return [
            web.get(f"/add/{section}", self._item_page),
            web.post(f"/add/{section}", self._post_item),
            web.get(f"/edit/{section}/{{name}}", self._item_page),
            web.post(f"/edit/{section}/{{name}}", self._post_item),
        ]

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
        problems = problems_of(document, offers, posted.action)
        if form.errors or problems or posted.action == "back":
            return self._items.again(req, base, form, problems, document, edit)
        carried = self._items.carried(form, posted.carried())
        step = Step(req, base, edit, document, offers, posted, carried)
        outcome = await self._proposer.preview_or_accept(step)
        match outcome:
            case Conflict():
                return await self._items.overtaken(req, base, edit, outcome)
            case list():
                return self._items.again(req, base, form, outcome, document, edit)
        return outcome
