"""Forms of accounts and deployments: input, preview, acceptance or problems."""

from aiohttp import web

from ebonydeal._internal.config.store import Conflict
from ebonydeal._internal.console.edits import apply_edit
from ebonydeal._internal.console.item_forms import ItemFormView
from ebonydeal._internal.console.parts import ConsoleParts
from ebonydeal._internal.console.posted import PostedForm
from ebonydeal._internal.console.proposing import PendingEdit, Proposer, find_problems


class EditPages:
    """Handlers of the forms of items.

    A page contains all of its inputs and the version they are based on, so
    that any console instance can process the next request.
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
        """Show the form of a new or existing item."""
        return self._items.show_item(req, await self._parts.current_content())

    async def _post_item(self, req: web.Request) -> web.Response:
        """Preview or accept a posted item form, or show it again with its problems."""
        posted = await PostedForm.read(req)
        base = await self._parts.content_at(posted.base)
        form = self._items.read_posted(req, posted.data)
        edit = self._items.build_edit(req, base, form)
        document = apply_edit(base, edit)
        offers = await self._parts.try_offers()
        problems = find_problems(document, offers, posted.action)
        if form.errors or problems or posted.action == "back":
            return self._items.show_posted(req, base, form, problems, document, edit)
        hidden_fields = self._items.hidden_fields(form, posted.hidden_fields())
        pending = PendingEdit(req, base, edit, document, offers, posted, hidden_fields)
        outcome = await self._proposer.preview_or_accept(pending)
        match outcome:
            case Conflict():
                return await self._items.show_conflict(req, base, edit, outcome)
            case list():
                return self._items.show_posted(req, base, form, outcome, document, edit)
        return outcome
