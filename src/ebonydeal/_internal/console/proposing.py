"""From a sound edit to its preview, and from there to acceptance."""

from typing import Any, NamedTuple

from aiohttp import web
from returns.result import Failure, Success

from ebonydeal._internal.config.delta import differences, split
from ebonydeal._internal.config.problems import Problem
from ebonydeal._internal.config.rows import Content
from ebonydeal._internal.config.store import Conflict
from ebonydeal._internal.config.validate import validate
from ebonydeal._internal.console.edits import Edit, PutDocument, PutItem, edit_words
from ebonydeal._internal.console.parts import ConsoleParts, operator_of
from ebonydeal._internal.console.posted import Posted
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import Offer


class Step(NamedTuple):
    """One sound edit on its way from the form to acceptance."""

    req: web.Request
    base: Content
    edit: Edit
    document: Any
    offers: list[Offer] | None
    posted: Posted
    carried: list[tuple[str, str]]


def problems_of(
    document: Any, offers: list[Offer] | None, action: str = "preview"
) -> list[Problem]:
    """Return every problem of a document.

    Prices are left to the store at acceptance: it first looks whether the
    proposal has already taken effect, which must never be told as refused.
    """
    checked = validate(document, None if action == "accept" else offers)
    return checked.failure() if isinstance(checked, Failure) else []


class Proposer:
    """Shows what an edit would change, and proposes it.

    Parameters
    ----------
    parts : ConsoleParts
        The console's parts.
    """

    def __init__(self, parts: ConsoleParts) -> None:
        self._parts = parts

    async def preview_or_accept(
        self, step: Step
    ) -> web.Response | Conflict | list[Problem]:
        """Do what the posted button says."""
        if step.posted.action == "accept":
            return await self._accept(step)
        return self.preview(step, None)

    def preview(self, step: Step, conflict: Conflict | None) -> web.Response:
        """Show the document and the diff that acceptance would bring."""
        lines = differences(step.base.items, split(step.document))
        return self._parts.render.page(
            step.req,
            "preview",
            status=409 if conflict else 200,
            base=step.base.version,
            lines=lines,
            document=step.document,
            carried=step.carried,
            proposal=self._parts.store.new_proposal(),
            note=step.posted.note,
            conflict=conflict,
            prices_checked=step.offers is not None,
            edit=edit_words(step.edit),
            can_go_back=isinstance(step.edit, PutItem | PutDocument),
        )

    async def _accept(self, step: Step) -> web.Response | Conflict | list[Problem]:
        """Propose the document."""
        posted = step.posted
        try:
            result = await self._parts.store.propose(
                step.document,
                posted.base,
                operator_of(step.req),
                posted.note or edit_words(step.edit),
                offers=step.offers,
                proposal=posted.proposal or None,
            )
        except EbonydealError as exc:
            return self._no_word(step, exc)
        match result:
            case Success(version):
                await self._parts.follower.try_refresh()
                location = f"/history/{version}?accepted=1"
                return web.Response(status=303, headers={"Location": location})
            case Failure(refusal):
                return refusal
        raise EbonydealError(ErrorKind.INTERNAL, "no outcome")

    def _no_word(self, step: Step, exc: EbonydealError) -> web.Response:
        """Say what is known, and offer to ask again under the same id."""
        self._parts.metrics.count_refusal(exc.kind)
        return self._parts.render.page(
            step.req,
            "no_word",
            status=exc.response.status,
            in_doubt=exc.kind == ErrorKind.STORE_IN_DOUBT,
            detail=exc.detail,
            base=step.posted.base,
            carried=step.carried,
            proposal=step.posted.proposal,
            note=step.posted.note,
        )
