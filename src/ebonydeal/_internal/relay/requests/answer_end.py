"""Whether an endpoint's answer that has ended is complete.

The framing of an answer says so, or for a close-delimited one (see `http_framing`) the
body and the state of the endpoint: one whose process has ended may have broken it off.
"""

import asyncio
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.ports import Engines
from ebonydeal._internal.relay.requests.exchange import Exchange
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.reachability import accepts_connections

logger = get_logger("relay.answer")

# An endpoint accepts a connection within milliseconds, or a third of a second on a busy
# instance, and tells its id when it has a slot; the client waits for both.
_MAX_CHECK_S = 0.4


class EndedAnswer(NamedTuple):
    """An answer whose body has ended.

    Attributes
    ----------
    received : int
        Size of the body, bytes.
    missing : str or None
        What the body lacks, if that shows.
    forwarded : bool
        Whether the answer came through another relay, which has checked the endpoint.
    """

    request_id: str
    member: Member
    close_delimited: bool
    received: int
    missing: str | None = None
    forwarded: bool = False


class AnswerEndChecker:
    """Finds answers that were cut short, though their end looks like any other."""

    def __init__(self, view: RelayView, metrics: Metrics, engines: Engines) -> None:
        self._view = view
        self._metrics = metrics
        self._engines = engines

    async def truncation(self, exchange: Exchange, answer: EndedAnswer) -> str | None:
        """Return why an answer is incomplete, or None if it is complete."""
        reason = await self._truncation(exchange, answer)
        if answer.close_delimited:
            self._metrics.count(Event.CLOSE_DELIMITED_ANSWERS)
        if reason is not None:
            self._metrics.count(Event.TRUNCATED_ANSWERS)
        if answer.close_delimited or reason is not None:
            logger.info(
                "Answer ended.",
                request=answer.request_id,
                endpoint=answer.member.endpoint_id,
                close_delimited=answer.close_delimited,
                received=answer.received,
                truncated=reason,
                forwarded=answer.forwarded,
            )
        return reason

    async def _truncation(self, exchange: Exchange, answer: EndedAnswer) -> str | None:
        # Framing shows that an answer is complete, whatever happens to its connection.
        if answer.close_delimited and await exchange.was_reset():
            return "connection reset"
        if answer.missing is not None:
            return f"ended without {answer.missing}"
        if not answer.close_delimited or answer.forwarded:
            return None
        if not await self._still_runs(answer.member):
            return "connection closed, and the process has ended or isn't reached"
        return None

    async def _still_runs(self, member: Member) -> bool:
        """Return whether the process of an endpoint didn't end with its connection.

        False as well if that can't be told: it can't be reached, and may have ended.
        """
        listed = self._view.members.get(member.endpoint_id)
        if listed is not None and listed.incarnation > member.incarnation:
            return False
        accepts, is_same = await asyncio.gather(
            accepts_connections(member.address, _MAX_CHECK_S),
            self._is_same_process(member),
        )
        return accepts and is_same is not False

    async def _is_same_process(self, member: Member) -> bool | None:
        """Return whether an endpoint is still at its address; None if it isn't told.

        By the time at which a delayed relay reads the end of an answer, another
        process may accept connections there.
        """
        index = self._view.index
        service = None if index is None else index.table.services.get(member.service)
        if service is None:
            return None
        return await self._engines.is_endpoint(
            member.address, service.health_path, member.endpoint_id, _MAX_CHECK_S
        )
