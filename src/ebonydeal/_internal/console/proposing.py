"""Preview and acceptance of a valid edit."""

from typing import Any, NamedTuple

from aiohttp import web
from returns.result import Failure, Success

from ebonydeal._internal.config.delta import differences, split
from ebonydeal._internal.config.problems import Problem
from ebonydeal._internal.config.rows import Content
from ebonydeal._internal.config.store import Conflict
from ebonydeal._internal.config.validate import validate
from ebonydeal._internal.console.edits import Edit, PutDocument, PutItem, describe_edit
from ebonydeal._internal.console.parts import ConsoleParts, operator_of
from ebonydeal._internal.console.posted import PostedForm
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import Offer


class PendingEdit(NamedTuple):
    """A valid edit that has not been accepted yet."""

    req: web.Request
    base: Content
    edit: Edit
    document: Any
    offers: list[Offer] | None
    posted: PostedForm
    hidden_fields: list[tuple[str, str]]


def find_problems(
    document: Any, offers: list[Offer] | None, action: str = "preview"
) -> list[Problem]:
    """Return every problem of a document.

    At acceptance the store checks prices, not this function: the store first
    checks whether the proposal has already taken effect, and such a proposal
    must never be reported as refused.
    """
    checked = validate(document, None if action == "accept" else offers)
    return checked.failure() if isinstance(checked, Failure) else []


class Proposer:
    """Shows previews of edits and proposes them to the store.

    Parameters
    ----------
    parts : ConsoleParts
        The console's parts.
    """

    def __init__(self, parts: ConsoleParts) -> None:
        self._parts = parts

    async def preview_or_accept(
        self, pending: PendingEdit
    ) -> web.Response | Conflict | list[Problem]:
        """Perform the action of the button that was pressed."""
        if pending.posted.action == "accept":
            return await self._accept(pending)
        return self.preview(pending, None)

    def preview(self, pending: PendingEdit, conflict: Conflict | None) -> web.Response:
        """Show the resulting document and its differences from the base version."""
        lines = differences(pending.base.items, split(pending.document))
        return self._parts.render.page(
            pending.req,
            "preview",
            status=409 if conflict else 200,
            base=pending.base.version,
            lines=lines,
            document=pending.document,
            carried=pending.hidden_fields,
            proposal=self._parts.store.new_proposal(),
            note=pending.posted.note,
            conflict=conflict,
            prices_checked=pending.offers is not None,
            edit=describe_edit(pending.edit),
            can_go_back=isinstance(pending.edit, PutItem | PutDocument),
        )

    async def _accept(
        self, pending: PendingEdit
    ) -> web.Response | Conflict | list[Problem]:
        """Propose the document to the store."""
        posted = pending.posted
        try:
            result = await self._parts.store.propose(
                pending.document,
                posted.base,
                operator_of(pending.req),
                posted.note or describe_edit(pending.edit),
                offers=pending.offers,
                proposal=posted.proposal or None,
            )
        except EbonydealError as exc:
            return self._show_store_error(pending, exc)
        match result:
            case Success(version):
                await self._parts.follower.try_refresh()
                location = f"/history/{version}?accepted=1"
                return web.Response(status=303, headers={"Location": location})
            case Failure(refusal):
                return refusal
        raise EbonydealError(
            ErrorKind.INTERNAL, "the configuration store returned an unexpected result"
        )

    def _show_store_error(
        self, pending: PendingEdit, exc: EbonydealError
    ) -> web.Response:
        """Show the store's error and offer a retry with the same proposal id."""
        self._parts.metrics.count_refusal(exc.kind)
        return self._parts.render.page(
            pending.req,
            "no_word",
            status=exc.response.status,
            in_doubt=exc.kind == ErrorKind.STORE_IN_DOUBT,
            detail=exc.detail,
            base=pending.posted.base,
            carried=pending.hidden_fields,
            proposal=pending.posted.proposal,
            note=pending.posted.note,
        )
