"""One try at an engine: a task that owns its stream and posts what arrives."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any, NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.ports import Route
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.outside.interfaces import Chunk, Engine, Resume
from ebonydeal._internal.utils.clock import Clock


@dataclass(frozen=True)
class ChunkReceived:
    """A chunk came from the engine."""

    chunk: Chunk


@dataclass(frozen=True)
class AttemptFailed:
    """The try is over without a whole answer."""

    error: EbonydealError


@dataclass(frozen=True)
class Migrate:
    """The stream shall go on elsewhere, because its endpoint leaves.

    ``target`` is None where routing may choose; ``kv_handle`` is empty where
    no KV cache was moved.
    """

    target: EndpointView | None
    kv_handle: str


Message = ChunkReceived | AttemptFailed | Migrate


class Mailbox:
    """Messages from a try to its relay; chunks wait while it is full.

    Parameters
    ----------
    bound : int
        Chunks held at most. Broke and Move are never held back.
    """

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._messages: deque[Message] = deque()
        self._arrived = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()

    def post(self, message: Message) -> None:
        """Add a message at once."""
        self._messages.append(message)
        self._arrived.set()
        if len(self._messages) >= self._bound:
            self._room.clear()

    async def has_room(self) -> None:
        """Wait until another chunk may be posted."""
        await self._room.wait()

    async def take(self) -> list[Message]:
        """Wait for messages; return all of them, in order."""
        await self._arrived.wait()
        messages = list(self._messages)
        self._messages.clear()
        self._arrived.clear()
        self._room.set()
        return messages


class EngineRequest(NamedTuple):
    """What an engine is asked for."""

    path: str
    body: dict[str, Any]
    attempt_id: str
    resume: Resume | None


class Attempt:
    """A running try.

    While the mailbox is full it doesn't read from the engine, whose connection
    then fills: a slow reader slows its engine's stream and nothing else.

    Attributes
    ----------
    waiting_since : float or None
        Since when the engine owes a chunk, in clock seconds; None while it is
        the reader who is awaited.
    first_at : float or None
        When the first chunk came.
    """

    def __init__(
        self,
        engine: Engine,
        route: Route,
        engine_request: EngineRequest,
        bound: int,
        clock: Clock,
    ) -> None:
        self.route = route
        self.engine_request = engine_request
        self.mailbox = Mailbox(bound)
        self.started_at = clock.now()
        self.waiting_since: float | None = self.started_at
        self.first_at: float | None = None
        self._engine = engine
        self._clock = clock
        self._task = asyncio.create_task(self._run())

    @property
    def attempt_id(self) -> str:
        """Id that the engine knows this try by."""
        return self.engine_request.attempt_id

    async def _run(self) -> None:
        """Read until the engine ends or breaks off."""
        try:
            await self._read()
        except EbonydealError as exc:
            self.mailbox.post(AttemptFailed(exc))
        except Exception as exc:
            detail = f"the endpoint's stream failed: {type(exc).__name__}"
            error = EbonydealError(ErrorKind.ENDPOINT_FAILED, detail)
            self.mailbox.post(AttemptFailed(error))
        else:
            detail = "the endpoint's stream ended early"
            error = EbonydealError(ErrorKind.ENDPOINT_FAILED, detail)
            self.mailbox.post(AttemptFailed(error))

    async def _read(self) -> None:
        """Post each chunk; stop after the last one."""
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
                await self.mailbox.has_room()
                self.mailbox.post(ChunkReceived(chunk))
                self.waiting_since = self._clock.now()
        finally:
            self.waiting_since = None
            close = getattr(stream, "aclose", None)
            if close is not None:
                await close()

    async def stop(self) -> None:
        """End the task and close its connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
