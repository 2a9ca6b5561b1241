"""Dependencies that the console's handlers share."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from aiohttp import web

from ebonydeal._internal.config.follower import ConfigFollower
from ebonydeal._internal.config.rows import Content
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.console.operators import Operators
from ebonydeal._internal.console.render import Renderer
from ebonydeal._internal.console.sessions import SESSION, Sessions
from ebonydeal._internal.console.status import StatusReader
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.interfaces import Offer
from ebonydeal._internal.utils.clock import Clock

MAX_NOTE_CHARS = 500
MAX_PROPOSAL_ID_CHARS = 64

ReadOffers = Callable[[], Awaitable[list[Offer]]]


class ConsoleParts(NamedTuple):
    """The console's parts, owned by its program."""

    store: ConfigStore
    follower: ConfigFollower
    status: StatusReader
    operators: Operators
    sessions: Sessions
    render: Renderer
    offers: ReadOffers
    metrics: Metrics
    clock: Clock
    rng: random.Random

    async def current_content(self) -> Content:
        """Return the newest content, or the last known if the table is unavailable."""
        await self.follower.try_refresh()
        return self.follower.topic.content

    async def content_at(self, version: int) -> Content:
        """Return the content of a version; raises NOT_FOUND."""
        known = self.follower.topic.content
        return known if known.version == version else await self.store.load(version)

    async def try_offers(self) -> list[Offer] | None:
        """Return current offers, or None if the cloud is unavailable."""
        try:
            return await self.offers()
        except EbonydealError:
            return None


def operator_of(req: web.Request) -> str:
    """Return the signed-in operator's name; raises UNAUTHORIZED."""
    session = req[SESSION]
    if session is None:
        raise EbonydealError(ErrorKind.UNAUTHORIZED, "Sign in first.")
    return session.operator
