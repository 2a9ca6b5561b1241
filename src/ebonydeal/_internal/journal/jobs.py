"""What the dispatcher keeps of one accepted request while it is not final."""

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
    """Chooses endpoints; the directory and the router stand behind it."""

    def pick(self, request: Request, exclude: frozenset[str]) -> EndpointView | None:
        """Return where to send ``request`` now, none of ``exclude``, if anywhere."""

    def is_leaving(self, view: EndpointView) -> bool:
        """Return whether an endpoint is known to be going away."""

    def record_sent(self, request: Request, view: EndpointView) -> None:
        """Learn that a run at an endpoint starts."""

    def record_finished(
        self, request: Request, view: EndpointView, error: ErrorKind | None
    ) -> None:
        """Learn that a run at an endpoint has ended, and with which error."""


class ShardJournal(Protocol):
    """A shard's durable records, as its owner lends them to the dispatcher."""

    shard: int
    epoch: int

    def state(self, request_id: str) -> RequestState | None:
        """Return the durable state of a request."""

    async def append(self, records: Sequence[Record], urgent: bool) -> None:
        """Return once ``records`` are durable; raises FENCED."""

    async def load_request_body(self, request: Request) -> str:
        """Return a request's body; raises the object store's errors."""

    async def store_answer(self, request_id: str, answer: StoredAnswer) -> StoredAnswer:
        """Return an answer as it goes into a record."""


@dataclass(eq=False)
class Job:
    """One request on its way to its end.

    Attributes
    ----------
    book : Book
        The shard that holds it.
    request : Request
        As accepted.
    may_have_run : bool
        An idempotent request of which some owner may have sent an attempt.
    partial : bool
        A non-idempotent generation that a source confirmed to have stopped: its
        tokens go on elsewhere as the same run.
    attempt : int
        Attempts that were sent in this epoch, for attempt ids.
    exclude : set of str
        Endpoints that failed it since the last success or wait.
    failures : int
        Failures in a row, for the backoff.
    cancelled : bool
        The caller asked for its end.
    sending : bool
        An endpoint is working on it now.
    view : EndpointView or None
        That endpoint.
    task : asyncio.Task or None
        The present attempt, from the grant to the durable outcome.
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
        """The request's id."""
        return self.request.request_id

    def next_attempt_id(self) -> str:
        """Return a fresh attempt id, unique over owners."""
        self.attempt += 1
        return f"{self.request_id}.{self.journal.epoch}.{self.attempt}"

    def is_covered(self, mark: LeavingMark) -> bool:
        """Return whether ``mark`` is about the endpoint that works on it."""
        if self.view is None:
            return False
        if mark.endpoint_id:
            same = self.view.endpoint_id == mark.endpoint_id
            return same and self.view.incarnation <= mark.incarnation
        return self.view.place.zone == mark.zone
