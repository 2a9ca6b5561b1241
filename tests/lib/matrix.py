"""Rows and columns of the fault matrix, and gates that pause or kill a process."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextvars import Context, ContextVar
from enum import StrEnum
from typing import Any, NamedTuple

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.utils.clock import Clock
from tests.lib.clock import ManualClock, settle

CLOSING_ROUNDS = 5
SETTLING_ROUNDS = 8


class Row(StrEnum):
    """A fault outside the process."""

    CRASH = "crash"
    NOTICE = "reclaim notice"
    ZONE_WAVE = "zone wave"
    START_REFUSED = "start refused"
    TABLE_DOWN = "table down"
    TABLE_SLOW = "table slow"
    TABLE_LOST = "table: answer lost after effect"
    TABLE_REFUSED = "table: refused before effect"
    OBJECTS_DOWN = "object store down"
    OBJECTS_SLOW = "object store slow"
    OBJECTS_LOST = "object store: answer lost after effect"
    OBJECTS_REFUSED = "object store: refused before effect"
    PAUSED = "lease lapsed while paused"
    TWO_OPERATORS = "two operators"
    LATE = "late answer"
    DUPLICATED = "duplicated answer"
    REORDERED = "reordered answer"
    LOAD = "load reports late or with gaps"
    CACHE = "cache events late or with gaps"
    UNREACHABLE = "peer unreachable"


class Column(StrEnum):
    """A step of one of the paths."""

    ACCEPT = "accept"
    COMMIT = "commit"
    DISPATCH = "dispatch"
    STREAM = "stream"
    COMPLETE = "complete"
    ANSWER = "answer"
    SNAPSHOT = "snapshot"
    TRIM = "trim"
    HAND_OVER = "hand-over"
    CONFIG_COMMIT = "config commit"
    CONFIG_SPREAD = "config spread"
    ORDER = "order"


class Channel(StrEnum):
    """The external system that a step calls."""

    TABLE = "table"
    OBJECTS = "objects"
    ENDPOINT = "endpoint"
    HOST = "the endpoint itself"
    PEER = "peer"


class When(StrEnum):
    """Before the operation takes effect, or after that and before its reply."""

    BEFORE = "before"
    AFTER = "after"


class Strike(NamedTuple):
    """One fault at one step of one channel; an empty ``victim`` is any request."""

    row: Row
    column: Column
    channel: Channel
    when: When = When.BEFORE
    victim: str = ""

    def __str__(self) -> str:
        where = f"{self.channel} {self.victim}".strip()
        return f"{self.row} at {self.column}, {self.when} ({where})"


_SPAWNED: set[asyncio.Task[Any]] = set()


def spawn(coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Start a task and keep a reference until it or the cell ends.

    The loop has only weak references: a task that waits for a dead process would
    be garbage-collected. The task has no actor, since the effects of a strike are
    not operations of the affected process.
    """
    task = asyncio.get_running_loop().create_task(coro, context=Context())
    _SPAWNED.add(task)
    task.add_done_callback(_SPAWNED.discard)
    return task


def run_cell(coro: Coroutine[Any, Any, Any]) -> Any:
    """Run a cell in a separate event loop and cancel the remaining tasks.

    Tasks of dead processes never end by themselves; they are cancelled without
    waiting for them.
    """
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda _loop, _context: None)
    try:
        return loop.run_until_complete(coro)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        for _ in range(CLOSING_ROUNDS):
            loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        _SPAWNED.clear()


class MatrixClock(ManualClock):
    """A manual clock that runs tasks for fewer rounds at each step.

    A task that isn't idle by then continues in the next step, like a slow process.
    """

    async def advance(self, seconds: float) -> None:
        end = self._now + seconds
        while True:
            await settle(SETTLING_ROUNDS)
            pending = [item for item in self._sleepers if item[0] <= end]
            if not pending:
                break
            first = min(pending, key=lambda item: item[0])
            self._sleepers.remove(first)
            self._now = max(self._now, first[0])
            if not first[1].done():
                first[1].set_result(None)
        self._now = end
        await settle(SETTLING_ROUNDS)


class Gate:
    """Blocks a process while it is paused, and forever once it is dead."""

    def __init__(self) -> None:
        self.running = asyncio.Event()
        self.running.set()
        self.died = asyncio.Event()

    @property
    def dead(self) -> bool:
        return self.died.is_set()

    def kill(self) -> None:
        """Crash: nothing more is sent or received."""
        self.died.set()

    async def wait_until_running(self) -> None:
        """Return when the process is running."""
        await self.running.wait()
        if self.dead:
            await asyncio.Event().wait()


# The process that performs an operation; the column of a caller's current step.
ACTOR: ContextVar[Any] = ContextVar("actor", default=None)
CALLER_COLUMN: ContextVar[Column] = ContextVar("asking", default=Column.ACCEPT)


class GatedClient:
    """Forwards calls to ``inner``; calls and results pass the process's gate."""

    def __init__(self, inner: Any, process: Any) -> None:
        self._inner = inner
        self._process = process

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._inner, name)

        async def gated(*args: Any, **kwargs: Any) -> Any:
            await self._process.gate.wait_until_running()
            ACTOR.set(self._process)
            try:
                result = await method(*args, **kwargs)
            except EbonydealError:
                await self._process.gate.wait_until_running()
                raise
            await self._process.gate.wait_until_running()
            return result

        return gated


class GatedEngine(GatedClient):
    """A gated client for engines, which also gates their streams."""

    async def stream(self, *args: Any, **kwargs: Any) -> AsyncIterator[Any]:
        gate = self._process.gate
        await gate.wait_until_running()
        ACTOR.set(self._process)
        async for item in self._inner.stream(*args, **kwargs):
            await gate.wait_until_running()
            yield item
        await gate.wait_until_running()


class GatedClock:
    """A process's clock, whose sleeps don't end while the process is paused."""

    def __init__(self, inner: Clock, gate: Gate) -> None:
        self._inner = inner
        self._gate = gate
        self.now = inner.now
        self.wall = inner.wall

    async def sleep(self, seconds: float) -> None:
        await self._inner.sleep(seconds)
        await self._gate.wait_until_running()
