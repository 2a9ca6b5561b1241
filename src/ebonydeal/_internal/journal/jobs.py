"""State that the dispatcher keeps for an accepted request until it is final."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.journal.fold import RequestState
from ebonydeal._internal.journal.runs import Interrupt, Progress
from ebonydeal._internal.models.endpoints import EndpointView, LeavingMark
from ebonydeal._internal.models.records import Record
from ebonydeal._internal.models.requests import Request, StoredAnswer


class Picker(Protocol):
    """Chooses endpoints, with the directory and the router."""

    def pick(self, request: Request, exclude: frozenset[str]) -> EndpointView | None:
        """Return an endpoint for ``request`` that isn't in ``exclude``, or None."""

    def is_leaving(self, view: EndpointView) -> bool:
        """Return whether an endpoint is known to be leaving."""

    def record_sent(self, request: Request, view: EndpointView) -> None:
        """Record that a run starts at an endpoint."""

    def record_finished(
        self, request: Request, view: EndpointView, error: ErrorKind | None
    ) -> None:
        """Record that a run at an endpoint has ended; ``error`` is None on success."""


class ShardJournal(Protocol):
    """A shard's journal, as its owner provides it to the dispatcher."""

    shard: int
    epoch: int

    def state(self, request_id: str) -> RequestState | None:
        """Return the durable state of a request."""

    async def append(self, records: Sequence[Record], urgent: bool) -> None:
        """Return once ``records`` are durable; raises FENCED."""

    async def load_request_body(self, request: Request) -> str:
        """Return a request's body; raises the object store's errors."""

    async def store_answer(self, request_id: str, answer: StoredAnswer) -> StoredAnswer:
        """Store a large answer body; return the answer as it goes into a record."""


@dataclass(eq=False)
class Job:
    """One accepted request that is not final.

    Attributes
    ----------
    journal : ShardJournal
        The journal of its shard.
    request : Request
        As accepted.
    may_have_run : bool
        An idempotent request of which some owner may have sent an attempt.
    partial : bool
        A non-idempotent generation whose engine confirmed that it stopped:
        another endpoint continues after its tokens as the same run.
    attempt : int
        Attempts sent in this epoch, for attempt ids.
    exclude : set of str
        Endpoints that failed it since it was last deferred for lack of others.
    failures : int
        Consecutive failures, for the backoff.
    cancelled : bool
        The caller requested its cancellation.
    sending : bool
        An endpoint is running it now.
    view : EndpointView or None
        That endpoint.
    task : asyncio.Task or None
        The current attempt, from the grant to the durable outcome.
    ended : asyncio.Event
        Set when the request is final or can't be stopped.
    """

    journal: ShardJournal
    request: Request
    may_have_run: bool
    partial: bool = False
    attempt: int = 0
    exclude: set[str] = field(default_factory=set)
    failures: int = 0
    cancelled: bool = False
    sending: bool = False
    view: EndpointView | None = None
    task: asyncio.Task | None = None
    progress: Progress = field(default_factory=Progress)
    interrupt: Interrupt = field(default_factory=Interrupt)
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.request.request_id

    def next_attempt_id(self) -> str:
        """Return a new attempt id, unique across owners."""
        self.attempt += 1
        return f"{self.request_id}.{self.journal.epoch}.{self.attempt}"

    def is_affected_by(self, mark: LeavingMark) -> bool:
        """Return whether ``mark`` applies to the endpoint that runs it."""
        if self.view is None:
            return False
        if mark.endpoint_id:
            same = self.view.endpoint_id == mark.endpoint_id
            return same and self.view.incarnation <= mark.incarnation
        return self.view.place.zone == mark.zone
