"""What the owners of one process share."""

import random
from typing import NamedTuple, Protocol

from ebonydeal._internal.journal.jobs import ShardJournal
from ebonydeal._internal.journal.pacing import Pacer
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.interfaces import Objects, Tables
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.utils.clock import Clock


class Dispatch(Protocol):
    """What an owner asks of the dispatcher."""

    def submit(
        self, journal: ShardJournal, request_id: str, may_have_run: bool
    ) -> None:
        """Run an accepted request when its turn comes."""

    async def cancel(self, journal: ShardJournal, request_id: str) -> None:
        """Stop a request; returns once its end is durable or it can't be stopped."""

    async def drain(self, journal: ShardJournal, limit: float) -> bool:
        """Start no more of a shard's work; return whether all runs ended in time."""

    def drop(self, journal: ShardJournal) -> None:
        """Forget a shard's work at once; its runs are cancelled."""


class OwnerParts(NamedTuple):
    """What all owners of one process share."""

    tables: Tables
    objects: Objects
    dispatch: Dispatch
    pacer: Pacer
    cfg: JournalSettings
    clock: Clock
    rng: random.Random
    metrics: Metrics
