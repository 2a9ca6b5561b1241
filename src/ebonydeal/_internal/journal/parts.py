"""Components that the owners of one process share."""

import random
from typing import NamedTuple, Protocol

from ebonydeal._internal.journal.jobs import ShardJournal
from ebonydeal._internal.journal.pacing import Pacer
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.interfaces import Objects, Tables
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.utils.clock import Clock


class RequestDispatcher(Protocol):
    """The dispatcher's interface for owners."""

    def submit(
        self, journal: ShardJournal, request_id: str, may_have_run: bool
    ) -> None:
        """Queue an accepted request."""

    async def cancel(self, journal: ShardJournal, request_id: str) -> None:
        """Cancel a request; returns once its end is durable or it can't be stopped."""

    async def drain(self, journal: ShardJournal, timeout: float) -> bool:
        """Start no more of a shard's runs; return whether all of them ended in time."""

    def drop(self, journal: ShardJournal) -> None:
        """Drop a shard's requests at once and cancel its runs."""


class OwnerParts(NamedTuple):
    """Components that all owners of one process share."""

    tables: Tables
    objects: Objects
    dispatch: RequestDispatcher
    pacer: Pacer
    cfg: JournalSettings
    clock: Clock
    rng: random.Random
    metrics: Metrics
