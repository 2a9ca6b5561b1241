"""The path of accepted requests under one or more faults, from accept to answer.

Real journal processes, clients, routing and records; in memory are only the
platform's stores, the endpoints, the network and the clock.
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
from tests.lib.matrix import ASKING, Channel, Column, MatrixClock, Strike, When, spawn
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
from tests.lib.matrix_strikes import SCAN_S, Striker

WAIT_S = 5.0
POLL_S = 2.0
REPLACED_S = 5.0
LONGEST_S = 400.0
AFTER_MARK_S = 3.0
MORE = 4


class JournalWorld:
    """Everything outside the processes, and the strikes that are due."""

    def __init__(self, strikes: tuple[Strike, ...]) -> None:
        self.clock = MatrixClock()
        self.tables = MemoryTables(self.clock)
        self.objects = MemoryObjects(self.clock)
        self.striker = Striker(self, strikes)
        reach = self.striker.reach
        self.directory = Directory(self.clock, _endpoints())
        self.engines = LoggingEngines(self.directory, self.clock, reach)
        self.services = LoggingServices(self.directory, self.clock, reach)
        self.network = Network(self.clock, reach)
        self.processes: list[Process] = []
        self.callers: list[Caller] = []
        self.digests: set[str] = set()
        self.quiet = self.client()
        self._hook(self.tables, Channel.TABLE, table_column)
        self._hook(self.objects, Channel.OBJECTS, self._object_column)

    def _object_column(self, operation: Any) -> Column | None:
        return object_column(operation, self.digests)

    def _hook(self, store: Any, channel: Channel, column_of: Any) -> None:
        async def before(operation: Any) -> None:
            slow = self.clock.now() < self.striker.slow_scans_until
            if operation.name == "scan" and slow:
                await self.clock.sleep(SCAN_S)
            await self.striker.reach(
                column_of(operation), channel, When.BEFORE, operation
            )

        async def after(operation: Any) -> None:
            await self.striker.reach(
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
        """Start another instance in the place of one that died."""
        await self.clock.sleep(REPLACED_S)
        await self.start(f"n-{len(self.processes) + 1}")

    def owner(self) -> Process | None:
        for process in self.processes:
            if process.serves:
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

    async def until(self, condition: Any, limit: float = LONGEST_S) -> bool:
        end = self.clock.now() + limit
        while not condition():
            if self.clock.now() >= end:
                return False
            await self.clock.advance(0.5)
        return True

    # --- callers -----------------------------------------------------------------
    def ask_quietly(self) -> None:
        """Submit through a gateway that last asked before all faults."""
        number = len(self.callers)
        self.submit(make_note(f"quiet{number}"), client=self.quiet)

    def ask_for_more(self) -> None:
        """Submit new work of each kind."""
        number = len(self.callers)
        for count in range(MORE):
            self.submit(make_chat(f"more{number}.{count}", idempotent=True))
            self.submit(make_note(f"morenote{number}.{count}"))

    def submit(
        self,
        request: Request,
        patient: bool = True,
        client: JournalClient | None = None,
    ) -> Caller:
        tag = request.request_id.removeprefix("r-0000-")
        caller = Caller(request, tag, patient)
        self.digests.add(xxh3_128_hexdigest(request.body.encode()))
        self.callers.append(caller)
        task = spawn(self._call(caller, client or self.client()))
        task.add_done_callback(partial(self.note_failure, caller))
        return caller

    @staticmethod
    def note_failure(caller: Caller, task: asyncio.Task[None]) -> None:
        """Keep what ended a caller otherwise than by an answer."""
        if not task.cancelled() and task.exception() is not None:
            caller.told.append((repr(task.exception()), 0))

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
                self._tell(caller, exc)
                if not caller.patient:
                    caller.gave_up = True
                    return
                await self.clock.sleep(POLL_S)
        await self.poll(caller)

    def _tell(self, caller: Caller, exc: EbonydealError) -> None:
        runs = len(self.runs(caller.tag))
        caller.told.append((str(exc.outcome), runs))

    async def poll(self, caller: Caller) -> None:
        client = self.client()
        ASKING.set(Column.ANSWER)
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
                self._unanswered(caller, announced_only),
                self._foreign(caller),
                self._false_not_run(caller),
                self._run_again(caller),
            ]
        return [text for text in broken if text]

    def _unanswered(self, caller: Caller, announced_only: bool) -> str:
        if caller.lost:
            return f"{caller.tag} was accepted and is lost"
        if not caller.done:
            return f"{caller.tag} has no end, told {caller.told[-2:]}"
        status = caller.status
        if status is None:
            return ""
        unknown_is_fair = not caller.request.idempotent and not announced_only
        if status.state == "completed" or (
            status.state == "unknown" and unknown_is_fair
        ):
            return ""
        return f"{caller.tag} ended as {status.state}"

    def _foreign(self, caller: Caller) -> str:
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
        for outcome, runs in caller.told:
            if outcome == Outcome.NOT_RUN and runs:
                return f"{caller.tag} was told not run, but ran"
        last = caller.told[-1][0] if caller.told else ""
        if caller.gave_up and last == Outcome.NOT_RUN and self.runs(caller.tag):
            return f"{caller.tag} was told not run, and ran later"
        return ""

    def _run_again(self, caller: Caller) -> str:
        if caller.request.idempotent:
            return ""
        runs = self.runs(caller.tag)
        # A run whose source confirmed its stop goes on elsewhere as the same run.
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
    """Walk the whole path; return broken promises and strikes that never came."""
    world = JournalWorld(strikes)
    await world.start("n-1")
    await world.until(lambda: world.owner() is not None)
    await world.start("n-2")
    world.ask_quietly()
    await world.until(lambda: world.callers[0].done)
    world.striker.armed = True
    await _first_requests(world)
    await _planned_stop(world)
    changed = await _last_owner(world)
    broken = world.broken_promises(world.striker.announced_only)
    return broken + changed, world.striker.due


async def _first_requests(world: JournalWorld) -> None:
    """Accept one of each kind, and let them end; rows enough for a snapshot."""
    world.submit(make_chat("covers1", idempotent=True))
    world.submit(make_note("note1"))
    world.submit(make_chat("draft1", idempotent=False))
    world.submit(make_note("once1"), patient=False)
    plain = make_chat("plain1", idempotent=True)._replace(key="")
    world.submit(plain, patient=False)
    await world.until(lambda: all(caller.done for caller in world.callers))
    await world.clock.advance(3.0)


async def _planned_stop(world: JournalWorld) -> None:
    """Stop the owner gracefully while requests run at endpoints."""
    await world.until(lambda: world.owner() is not None)
    world.submit(make_chat("covers2", idempotent=True))
    world.submit(make_note("note2"))
    world.submit(make_chat("draft2", idempotent=False))
    await world.clock.advance(0.5)
    owner = world.owner()
    await world.start("n-standby")
    if owner is not None:
        spawn(owner.node.leave())
    await world.until(lambda: all(caller.done for caller in world.callers))


async def _last_owner(world: JournalWorld) -> list[str]:
    """Let all late writes land, kill what owns, and ask a new owner for all."""
    await world.until(lambda: world.clock.now() > world.striker.over)
    await world.clock.advance(SCAN_S)
    await world.until(lambda: all(caller.done for caller in world.callers))
    world.striker.lift()
    world.tables.apply_late_writes()
    world.objects.apply_late_writes()
    await world.clock.advance(1.0)
    for process in world.processes:
        process.gate.running.set()
        process.gate.kill()
    await world.start("n-last")
    await world.until(lambda: world.owner() is not None)
    before = [caller.status for caller in world.callers]
    for caller, former in zip(world.callers, before, strict=True):
        if former is not None:
            caller.status = None
            task = spawn(world.poll(caller))
            task.add_done_callback(partial(world.note_failure, caller))
    await world.until(lambda: all(caller.done for caller in world.callers))
    await settle()
    return [
        f"{caller.tag} has changed"
        for caller, former in zip(world.callers, before, strict=True)
        if former is not None and former.is_final
        if caller.status is not None and caller.status[:3] != former[:3]
    ]
