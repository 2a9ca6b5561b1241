"""Engines and plain services that log their runs, for the fault matrix.

The answer is derived from the request's content, so that a foreign answer is
detected. The promises are checked against the log.
"""

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import EndpointView, LeavingMark
from ebonydeal._internal.outside.interfaces import (
    CancelResult,
    Chunk,
    Resume,
    ServiceAnswer,
)
from tests.lib.clock import ManualClock
from tests.lib.matrix import Channel, Column, When

TOKENS = 4
TOKEN_S = 1.0
SERVICE_S = 1.0


def tokens_of(tag: str) -> list[str]:
    return [f"{tag}.{number} " for number in range(TOKENS)]


def tag_of(body: dict[str, Any]) -> str:
    return body["messages"][0]["content"]


@dataclass
class Run:
    """One attempt at one endpoint; ``started`` is on the world's clock."""

    endpoint_id: str
    attempt_id: str
    tag: str
    started: float
    resumed: bool = False
    state: str = "running"


@dataclass
class Directory:
    """All endpoints, when they were marked as leaving, and those that are gone."""

    clock: ManualClock
    endpoints: list[EndpointView]
    marked: dict[str, float] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)

    def views(self, deployment: str) -> tuple[EndpointView, ...]:
        return tuple(
            view
            for view in self.endpoints
            if view.deployment == deployment and not self.is_leaving(view)
        )

    def is_leaving(self, view: EndpointView) -> bool:
        return view.endpoint_id in self.marked

    def mark(self, mark: LeavingMark) -> list[str]:
        """Apply a leaving mark; return the endpoints that it covers."""
        covered = [
            view.endpoint_id
            for view in self.endpoints
            if mark.endpoint_id == view.endpoint_id
            or (not mark.endpoint_id and mark.zone == view.place.zone)
        ]
        for name in covered:
            self.marked.setdefault(name, self.clock.now())
        return covered

    def check_reached(self, name: str) -> None:
        if name in self.gone:
            raise EbonydealError(ErrorKind.CONNECT_FAILED, f"{name} is gone")

    def check_alive(self, name: str) -> None:
        if name in self.gone:
            raise EbonydealError(ErrorKind.ENDPOINT_FAILED, f"{name} is gone")


class LoggingEngines:
    """All engines; ``on_step`` is awaited at each step and may inject a fault."""

    def __init__(self, directory: Directory, clock: ManualClock, on_step: Any) -> None:
        self.runs: list[Run] = []
        self._directory = directory
        self._clock = clock
        self._on_step = on_step
        self.disturbance: dict[str, str] = {}

    async def stream(
        self,
        endpoint: EndpointView,
        path: str,
        body: dict[str, Any],
        attempt_id: str,
        resume: Resume | None = None,
    ) -> AsyncIterator[Chunk]:
        name = endpoint.endpoint_id
        self._directory.check_reached(name)
        run = Run(name, attempt_id, tag_of(body), self._clock.now(), bool(resume))
        await self._on_step(Column.DISPATCH, Channel.ENDPOINT, When.BEFORE, run)
        self._directory.check_reached(name)
        run.started = self._clock.now()
        self.runs.append(run)
        await self._on_step(Column.DISPATCH, Channel.ENDPOINT, When.AFTER, run)
        start = len(resume.delivered) if resume else 0
        async for chunk in self._generate(run, start):
            if run.state == "running":
                yield chunk

    async def _generate(self, run: Run, start: int) -> AsyncIterator[Chunk]:
        texts = tokens_of(run.tag)
        for position in range(start, TOKENS):
            await self._clock.sleep(TOKEN_S)
            column = Column.COMPLETE if position == TOKENS - 1 else Column.STREAM
            if position > 1:
                await self._on_step(column, Channel.ENDPOINT, When.BEFORE, run)
            self._directory.check_alive(run.endpoint_id)
            finish = "stop" if position == TOKENS - 1 else ""
            prefilled = 7 if position == start else 0
            chunk = Chunk(position, texts[position], finish, 0, prefilled)
            for disturbed in self._disturbed(run, chunk):
                yield disturbed
            if position > 1:
                await self._on_step(column, Channel.ENDPOINT, When.AFTER, run)
        if run.state == "running":
            run.state = "finished"

    def _disturbed(self, run: Run, chunk: Chunk) -> list[Chunk]:
        """Return the chunks that arrive instead of ``chunk``."""
        disturbance = self.disturbance.pop(run.attempt_id, "")
        if disturbance == "duplicated":
            return [chunk, chunk]
        if disturbance == "reordered":
            after = chunk._replace(position=chunk.position + 1, text="x", finish="")
            return [after, chunk]
        return [chunk]

    async def cancel(self, endpoint: EndpointView, attempt_id: str) -> CancelResult:
        self._directory.check_alive(endpoint.endpoint_id)
        for run in self.runs:
            if run.attempt_id == attempt_id:
                if run.state == "running":
                    run.state = "stopped"
                return CancelResult(run.state, 0)
        return CancelResult("unknown", 0)


class LoggingServices:
    """All plain services."""

    def __init__(self, directory: Directory, clock: ManualClock, on_step: Any) -> None:
        self.runs: list[Run] = []
        self._directory = directory
        self._clock = clock
        self._on_step = on_step

    async def call(  # type: ignore[no-untyped-def]
        self, endpoint, method, path, headers, body, attempt_id, timeout
    ) -> ServiceAnswer:
        name = endpoint.endpoint_id
        self._directory.check_reached(name)
        run = Run(name, attempt_id, json.loads(body)["tag"], self._clock.now())
        await self._on_step(Column.DISPATCH, Channel.ENDPOINT, When.BEFORE, run)
        self._directory.check_reached(name)
        run.started = self._clock.now()
        self.runs.append(run)
        await self._on_step(Column.DISPATCH, Channel.ENDPOINT, When.AFTER, run)
        try:
            return await self._work(run)
        finally:
            if run.state == "running":
                run.state = "cut"

    async def _work(self, run: Run) -> ServiceAnswer:
        await self._clock.sleep(SERVICE_S)
        await self._on_step(Column.COMPLETE, Channel.ENDPOINT, When.BEFORE, run)
        self._directory.check_alive(run.endpoint_id)
        run.state = "finished"
        await self._on_step(Column.COMPLETE, Channel.ENDPOINT, When.AFTER, run)
        self._directory.check_alive(run.endpoint_id)
        return ServiceAnswer(200, "text/plain", f"done {run.tag}".encode())
