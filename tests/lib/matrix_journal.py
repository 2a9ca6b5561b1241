"""Runs the path of accepted requests, from accept to answer, under faults.

Journal processes, clients, routing and records are real; only the platform's
stores, the endpoints, the network and the clock are in memory.
"""

import asyncio
import json
import random
from functools import partial
from typing import Any

from xxhash import xxh3_128_hexdigest

from ebonydeal._internal.errors import EbonydealError, Outcome
from ebonydeal._internal.models.endpoints import EndpointKind
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Request, RequestKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.peers.journal_client import JournalClient
from ebonydeal._internal.standin.memory import MemoryObjects, MemoryTables
from tests.lib.clock import settle
from tests.lib.endpoints import make_view
from tests.lib.matrix import (
    CALLER_COLUMN,
    Channel,
    Column,
    MatrixClock,
    Strike,
    When,
    spawn,
)
from tests.lib.matrix_callers import ACCOUNT, Caller, make_chat, make_note
from tests.lib.matrix_endpoints import (
    Directory,
    LoggingEngines,
    LoggingServices,
    Run,
    tokens_of,
)
from tests.lib.matrix_processes import CFG, Network, Process
from tests.lib.matrix_steps import object_column, table_column
from tests.lib.matrix_strikes import SCAN_S, FaultInjector

WAIT_S = 5.0
POLL_S = 2.0
REPLACEMENT_DELAY_S = 5.0
MAX_RUN_S = 400.0
AFTER_MARK_S = 3.0
MORE_REQUESTS = 4


class JournalWorld:
    """Everything outside the processes, and the pending strikes."""

    def __init__(self, strikes: tuple[Strike, ...]) -> None:
        self.clock = MatrixClock()
        self.tables = MemoryTables(self.clock)
        self.objects = MemoryObjects(self.clock)
        self.injector = FaultInjector(self, strikes)
        on_step = self.injector.on_step
        self.directory = Directory(self.clock, _endpoints())
        self.engines = LoggingEngines(self.directory, self.clock, on_step)
        self.services = LoggingServices(self.directory, self.clock, on_step)
        self.network = Network(self.clock, on_step)
        self.processes: list[Process] = []
        self.callers: list[Caller] = []
        self.digests: set[str] = set()
        self.stale_client = self.client()
        self._hook(self.tables, Channel.TABLE, table_column)
        self._hook(self.objects, Channel.OBJECTS, self._object_column)

    def _object_column(self, operation: Any) -> Column | None:
        return object_column(operation, self.digests)

    def _hook(self, store: Any, channel: Channel, column_of: Any) -> None:
        async def before(operation: Any) -> None:
            slow = self.clock.now() < self.injector.slow_scans_until
            if operation.name == "scan" and slow:
                await self.clock.sleep(SCAN_S)
            await self.injector.on_step(
                column_of(operation), channel, When.BEFORE, operation
            )

        async def after(operation: Any) -> None:
            await self.injector.on_step(
                column_of(operation), channel, When.AFTER, operation
            )

        store.faults.before = before
        store.faults.after = after

    # --- processes -----------------------------------------------------------
    async def start(self, name: str) -> Process:
        process = Process(self, name)
        self.processes.append(process)
        self.network.processes[process.address] = process
        await process.start()
        return process

    async def replace(self) -> None:
        """Start a replacement for an instance that died."""
        await self.clock.sleep(REPLACEMENT_DELAY_S)
        await self.start(f"n-{len(self.processes) + 1}")

    def owner(self) -> Process | None:
        for process in self.processes:
            if process.is_serving:
                return process
        return None

    def client(self) -> JournalClient:
        return JournalClient(
            self.tables,
            self.network,  # type: ignore[arg-type]
            CFG.shards,
            CFG.client_patience,
            clock=self.clock,
            rng=random.Random(1),
            metrics=Metrics(),
        )

    async def advance_until(self, condition: Any, limit: float = MAX_RUN_S) -> bool:
        end = self.clock.now() + limit
        while not condition():
            if self.clock.now() >= end:
                return False
            await self.clock.advance(0.5)
        return True

    # --- callers -----------------------------------------------------------------
    def submit_with_stale_client(self) -> None:
        """Submit through a gateway whose last call was before all faults."""
        number = len(self.callers)
        self.submit(make_note(f"quiet{number}"), client=self.stale_client)

    def submit_more(self) -> None:
        """Submit new requests of each kind."""
        number = len(self.callers)
        for count in range(MORE_REQUESTS):
            self.submit(make_chat(f"more{number}.{count}", idempotent=True))
            self.submit(make_note(f"morenote{number}.{count}"))

    def submit(
        self,
        request: Request,
        retries: bool = True,
        client: JournalClient | None = None,
    ) -> Caller:
        tag = request.request_id.removeprefix("r-0000-")
        caller = Caller(request, tag, retries)
        self.digests.add(xxh3_128_hexdigest(request.body.encode()))
        self.callers.append(caller)
        task = spawn(self._call(caller, client or self.client()))
        task.add_done_callback(partial(self.note_failure, caller))
        return caller

    @staticmethod
    def note_failure(caller: Caller, task: asyncio.Task[None]) -> None:
        """Record an unexpected exception of a caller."""
        if not task.cancelled() and task.exception() is not None:
            caller.replies.append((repr(task.exception()), 0))

    async def _call(self, caller: Caller, client: JournalClient) -> None:
        """Submit until accepted, then poll through another gateway."""
        while not caller.accepted:
            try:
                if caller.request.kind is RequestKind.SERVICE:
                    caller.status = await client.call(caller.request, WAIT_S)
                else:
                    await client.accept(caller.request)
                caller.accepted = True
            except EbonydealError as exc:
                self._record_error(caller, exc)
                if not caller.retries:
                    caller.gave_up = True
                    return
                await self.clock.sleep(POLL_S)
        await self.poll(caller)

    def _record_error(self, caller: Caller, exc: EbonydealError) -> None:
        runs = len(self.runs(caller.tag))
        caller.replies.append((str(exc.outcome), runs))

    async def poll(self, caller: Caller) -> None:
        client = self.client()
        CALLER_COLUMN.set(Column.ANSWER)
        while caller.status is None or not caller.status.is_final:
            try:
                caller.status = await client.status(caller.request.request_id, ACCOUNT)
            except EbonydealError as exc:
                if exc.response.status == 404:
                    caller.lost = True
            await self.clock.sleep(POLL_S)

    def runs(self, tag: str) -> list[Run]:
        logged = self.engines.runs + self.services.runs
        return [run for run in logged if run.tag == tag]

    # --- the promises, from the outside ----------------------------------------------
    def broken_promises(self, announced_only: bool) -> list[str]:
        broken = [self._late_starts()]
        for caller in self.callers:
            broken += [
                self._missing_end(caller, announced_only),
                self._foreign_answer(caller),
                self._false_not_run(caller),
                self._repeated_run(caller),
            ]
        return [text for text in broken if text]

    def _missing_end(self, caller: Caller, announced_only: bool) -> str:
        if caller.lost:
            return f"{caller.tag} was accepted and is lost"
        if not caller.done:
            return f"{caller.tag} is not final, last replies {caller.replies[-2:]}"
        status = caller.status
        if status is None:
            return ""
        unknown_allowed = not caller.request.idempotent and not announced_only
        if status.state == "completed" or (
            status.state == "unknown" and unknown_allowed
        ):
            return ""
        return f"{caller.tag} ended as {status.state}"

    def _foreign_answer(self, caller: Caller) -> str:
        status = caller.status
        if status is None or status.answer is None:
            return ""
        if caller.request.kind is RequestKind.SERVICE:
            own = status.answer.body == f"done {caller.tag}"
        else:
            choice = json.loads(status.answer.body)["choices"][0]
            own = choice["message"]["content"] == "".join(tokens_of(caller.tag))
        return "" if own else f"{caller.tag} got {status.answer.body!r}"

    def _false_not_run(self, caller: Caller) -> str:
        for outcome, runs in caller.replies:
            if outcome == Outcome.NOT_RUN and runs:
                return f"{caller.tag} was reported as not run, but ran"
        last = caller.replies[-1][0] if caller.replies else ""
        if caller.gave_up and last == Outcome.NOT_RUN and self.runs(caller.tag):
            return f"{caller.tag} was reported as not run, and ran later"
        return ""

    def _repeated_run(self, caller: Caller) -> str:
        if caller.request.idempotent:
            return ""
        runs = self.runs(caller.tag)
        # A run that its engine confirmed as stopped continues elsewhere as the same.
        open_runs = [run for run in runs if run.state != "stopped"]
        if len(open_runs) > 1:
            return f"{caller.tag} ran {len(runs)} times"
        return ""

    def _late_starts(self) -> str:
        for run in self.engines.runs + self.services.runs:
            marked = self.directory.marked.get(run.endpoint_id)
            if marked is not None and run.started > marked + AFTER_MARK_S:
                return f"{run.endpoint_id} got {run.tag} while leaving"
        return ""


def _endpoints() -> list[Any]:
    engines = [
        make_view("e-1", place=Place("wales", "z1")),
        make_view("e-2", place=Place("wales", "z2")),
        make_view("e-3", place=Place("wales", "z2")),
    ]
    services = [
        make_view(
            name,
            kind=EndpointKind.SERVICE,
            deployment="tracking",
            models=(),
            place=Place("wales", zone),
        )
        for name, zone in (("s-1", "z1"), ("s-2", "z2"))
    ]
    return engines + services


async def run_journal(strikes: tuple[Strike, ...]) -> tuple[list[str], list[Strike]]:
    """Run the whole path; return broken promises and strikes that never occurred."""
    world = JournalWorld(strikes)
    await world.start("n-1")
    await world.advance_until(lambda: world.owner() is not None)
    await world.start("n-2")
    world.submit_with_stale_client()
    await world.advance_until(lambda: world.callers[0].done)
    world.injector.armed = True
    await _first_requests(world)
    await _planned_stop(world)
    changed = await _last_owner(world)
    broken = world.broken_promises(world.injector.announced_only)
    return broken + changed, world.injector.pending


async def _first_requests(world: JournalWorld) -> None:
    """Run one request of each kind, with enough rows for a snapshot."""
    world.submit(make_chat("covers1", idempotent=True))
    world.submit(make_note("note1"))
    world.submit(make_chat("draft1", idempotent=False))
    world.submit(make_note("once1"), retries=False)
    plain = make_chat("plain1", idempotent=True)._replace(key="")
    world.submit(plain, retries=False)
    await world.advance_until(lambda: all(caller.done for caller in world.callers))
    await world.clock.advance(3.0)


async def _planned_stop(world: JournalWorld) -> None:
    """Stop the owner gracefully while requests run at endpoints."""
    await world.advance_until(lambda: world.owner() is not None)
    world.submit(make_chat("covers2", idempotent=True))
    world.submit(make_note("note2"))
    world.submit(make_chat("draft2", idempotent=False))
    await world.clock.advance(0.5)
    owner = world.owner()
    await world.start("n-standby")
    if owner is not None:
        spawn(owner.node.leave())
    await world.advance_until(lambda: all(caller.done for caller in world.callers))


async def _last_owner(world: JournalWorld) -> list[str]:
    """Apply all late writes, kill all processes and poll a new owner."""
    await world.advance_until(lambda: world.clock.now() > world.injector.last_fault_end)
    await world.clock.advance(SCAN_S)
    await world.advance_until(lambda: all(caller.done for caller in world.callers))
    world.injector.end_faults()
    world.tables.apply_late_writes()
    world.objects.apply_late_writes()
    await world.clock.advance(1.0)
    for process in world.processes:
        process.gate.running.set()
        process.gate.kill()
    await world.start("n-last")
    await world.advance_until(lambda: world.owner() is not None)
    before = [caller.status for caller in world.callers]
    for caller, previous in zip(world.callers, before, strict=True):
        if previous is not None:
            caller.status = None
            task = spawn(world.poll(caller))
            task.add_done_callback(partial(world.note_failure, caller))
    await world.advance_until(lambda: all(caller.done for caller in world.callers))
    await settle()
    return [
        f"{caller.tag} has changed"
        for caller, previous in zip(world.callers, before, strict=True)
        if previous is not None and previous.is_final
        if caller.status is not None and caller.status[:3] != previous[:3]
    ]
