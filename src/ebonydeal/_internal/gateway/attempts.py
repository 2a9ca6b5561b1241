"""One attempt at an engine: a task that reads its stream into a mailbox."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.ports import Route
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.outside.interfaces import Chunk, Engine, Resume
from ebonydeal._internal.utils.clock import Clock


def stalled_error() -> EbonydealError:
    """Return the error of an attempt whose engine is silent."""
    detail = "the endpoint sent no token within the time limit"
    return EbonydealError(ErrorKind.ENDPOINT_STALLED, detail)


@dataclass(frozen=True)
class ChunkReceived:
    """The engine sent a chunk."""

    chunk: Chunk


@dataclass(frozen=True)
class AttemptFailed:
    """The attempt ended without a complete answer."""

    error: EbonydealError


@dataclass(frozen=True)
class Migrate:
    """The stream must continue at another endpoint, because its endpoint leaves.

    ``target`` is None if routing may choose; ``kv_handle`` is empty if no KV
    cache was transferred.
    """

    target: EndpointView | None
    kv_handle: str


@dataclass(frozen=True)
class Silent:
    """The engine sent no chunk within the time limit, and may still send one."""


Message = ChunkReceived | AttemptFailed | Migrate | Silent


class Mailbox:
    """Queue of messages for the stream runner; bounded for chunks.

    Parameters
    ----------
    max_chunks : int
        Maximum number of messages before `wait_for_room` blocks. Only the post of
        chunks waits for it.
    """

    def __init__(self, max_chunks: int) -> None:
        self._max_chunks = max_chunks
        self._messages: deque[Message] = deque()
        self._arrived = asyncio.Event()
        self._posted = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()

    def post(self, message: Message) -> None:
        """Add a message without waiting."""
        self._messages.append(message)
        self._arrived.set()
        self._posted.set()
        if len(self._messages) >= self._max_chunks:
            self._room.clear()

    def post_once(self, message: Message) -> None:
        """Add a message, unless an equal one is still in the mailbox."""
        if message not in self._messages:
            self.post(message)

    async def wait_for_room(self) -> None:
        """Wait until the mailbox has room for a chunk."""
        await self._room.wait()

    async def receive(self) -> list[Message]:
        """Wait for a message; return all pending messages in order."""
        await self._arrived.wait()
        messages = list(self._messages)
        self._messages.clear()
        self._arrived.clear()
        self._room.set()
        return messages

    def put_back(self, messages: Sequence[Message]) -> None:
        """Return received messages that weren't processed; they come first."""
        self._messages.extendleft(reversed(messages))
        if messages:
            self._arrived.set()

    def failure(self) -> AttemptFailed | None:
        """Return the first failure in the mailbox, which stays there."""
        return next((m for m in self._messages if isinstance(m, AttemptFailed)), None)

    async def wait_for(self, matches: Callable[[Message], bool]) -> Message:
        """Wait for a message that matches; it stays in the mailbox."""
        while True:
            for message in self._messages:
                if matches(message):
                    return message
            self._posted.clear()
            await self._posted.wait()


class EngineRequest(NamedTuple):
    """Request of one attempt to an engine."""

    path: str
    body: dict[str, Any]
    attempt_id: str
    resume: Resume | None


class Attempt:
    """A running attempt.

    It doesn't read from the engine while the mailbox is full, so back-pressure
    from a slow caller slows down only that caller's stream.

    Attributes
    ----------
    waiting_since : float or None
        Since when the attempt waits for a chunk of the engine, clock seconds;
        None while it waits for the caller.
    silent_since : float or None
        When its engine was first found silent, clock seconds; None if it has sent
        a chunk since.
    first_at : float or None
        When the first chunk was processed, clock seconds.
    """

    def __init__(
        self,
        engine: Engine,
        route: Route,
        engine_request: EngineRequest,
        max_chunks: int,
        clock: Clock,
    ) -> None:
        self.route = route
        self.engine_request = engine_request
        self.mailbox = Mailbox(max_chunks)
        self.started_at = clock.now()
        self.waiting_since: float | None = self.started_at
        self.silent_since: float | None = None
        self.first_at: float | None = None
        self._engine = engine
        self._clock = clock
        self._task = asyncio.create_task(self._run())

    @property
    def attempt_id(self) -> str:
        """Id of this attempt at the engine."""
        return self.engine_request.attempt_id

    async def _run(self) -> None:
        """Read until the stream ends or fails; post the failure."""
        try:
            await self._read()
        except EbonydealError as exc:
            self.mailbox.post(AttemptFailed(exc))
        except Exception as exc:
            detail = f"the endpoint's stream failed: {type(exc).__name__}"
            error = EbonydealError(ErrorKind.ENDPOINT_FAILED, detail)
            self.mailbox.post(AttemptFailed(error))
        else:
            detail = "the endpoint's stream ended before the answer was complete"
            error = EbonydealError(ErrorKind.ENDPOINT_FAILED, detail)
            self.mailbox.post(AttemptFailed(error))

    async def _read(self) -> None:
        """Post each chunk of the stream."""
        engine_request = self.engine_request
        stream = self._engine.stream(
            self.route.endpoint,
            engine_request.path,
            engine_request.body,
            engine_request.attempt_id,
            engine_request.resume,
        )
        try:
            async for chunk in stream:
                self.waiting_since = None
                await self.mailbox.wait_for_room()
                self.mailbox.post(ChunkReceived(chunk))
                self.waiting_since = self._clock.now()
        finally:
            self.waiting_since = None
            close = getattr(stream, "aclose", None)
            if close is not None:
                await close()

    async def stop(self) -> None:
        """Cancel the task and close its connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
