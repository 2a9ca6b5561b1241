"""Commit and propagation of configuration versions under one or more faults.

Stores and followers are real; the table, the clock and the connections of peers are
in memory. A place is an instance with its replacements, as its users see it.
"""

import asyncio
import json
import random
from typing import Any

from returns.result import Success

from ebonydeal._internal.config.delta import split
from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.follower import ConfigFollower
from ebonydeal._internal.config.rows import HEAD_KEY
from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.standin.faults import Fault, Operation
from ebonydeal._internal.standin.memory import MemoryTables
from tests.lib.matrix import (
    ACTOR,
    Channel,
    Column,
    Gate,
    GatedClient,
    GatedClock,
    MatrixClock,
    Row,
    Strike,
    When,
    spawn,
)
from tests.lib.matrix_places import Place, Proposal

PLACES = 3
ROUND_S = 1.0
OUTAGE_S = 60.0
SLOW_S = 1.5
PAUSE_S = 40.0
LATE_S = 15.0
SPREAD_S = 20.0
STEP_S = 0.5
MAX_RUN_S = 300.0
VERSIONS = 4

_FAULTS = {
    Row.TABLE_LOST: Fault.LOST_ANSWER,
    Row.TABLE_REFUSED: Fault.REFUSED,
    Row.LATE: Fault.LATE,
    Row.DUPLICATED: Fault.DUPLICATE,
    Row.REORDERED: Fault.LATE,
}


def edited(max_replicas: int) -> dict[str, Any]:
    document = example_document("cadwaladr")
    document["deployments"][0]["replicas"]["max"] = max_replicas
    return document


class Instance:
    """One process that follows the configuration, or an operator's console."""

    def __init__(self, world: "ConfigWorld", seed: str) -> None:
        self.gate = Gate()
        clock = GatedClock(world.clock, self.gate)
        tables = GatedClient(world.tables, self)
        rng = random.Random(seed)
        self.follower = ConfigFollower(tables, Metrics(), clock, rng, lambda: 200)
        self.store = ConfigStore(tables, clock, rng)


class ConfigWorld:
    """Everything outside the processes, and the pending strikes."""

    def __init__(self, strikes: tuple[Strike, ...]) -> None:
        self.pending = list(strikes)
        self.clock = MatrixClock()
        self.tables = MemoryTables(self.clock)
        self.tables.faults.before = self._before
        self.tables.faults.after = self._after
        self.places: list[Place] = []
        self.proposals: list[Proposal] = []
        self.disturbance = ""
        self.held_payload: dict[str, Any] | None = None
        self.unreachable: set[str] = set()
        self._number = 0

    # --- places --------------------------------------------------------------
    async def start_places(self) -> None:
        for number in range(PLACES):
            place = Place(f"g-{number}", Instance(self, f"g-{number}"))
            self.places.append(place)
            await self._start(place)
            spawn(self._run_peer_rounds(place))

    async def _start(self, place: Place) -> None:
        instance, start = place.instance, place.starts

        def changed(document: Any) -> None:
            place.versions_seen.append((self.clock.now(), start, document.version))

        instance.follower.on_change(changed)
        await instance.follower.start()

    async def replace(self, place: Place) -> None:
        """End an instance and start its replacement."""
        place.instance.gate.kill()
        place.starts += 1
        place.instance = Instance(self, f"{place.name} {place.starts}")
        await self._start(place)

    async def _run_peer_rounds(self, place: Place) -> None:
        """Exchange configuration with random peers at intervals, like peer rounds."""
        rng = random.Random(f"rounds {place.name}")
        while True:
            await self.clock.sleep(ROUND_S * rng.uniform(0.8, 1.2))
            gate = place.instance.gate
            other = rng.choice([item for item in self.places if item is not place])
            unreachable = {place.name, other.name} & self.unreachable
            if unreachable or not gate.running.is_set():
                continue
            if not other.instance.gate.running.is_set():
                continue
            digest = _copy(place.instance.follower.topic.digest())
            payload = other.instance.follower.topic.payload_for(digest)
            if payload is not None:
                await self._deliver(place, _copy(payload))

    async def _deliver(self, place: Place, payload: dict[str, Any]) -> None:
        await self._on_step(Column.CONFIG_SPREAD, Channel.PEER, When.BEFORE, place)
        topic = place.instance.follower.topic
        disturbance, self.disturbance = self.disturbance, ""
        if disturbance == Row.LATE:
            self._later(LATE_S, lambda: topic.receive(payload))
            return
        if disturbance == Row.REORDERED:
            self.held_payload = payload
            return
        topic.receive(payload)
        if disturbance == Row.DUPLICATED:
            topic.receive(payload)
            self._later(LATE_S, lambda: topic.receive(payload))
        if self.held_payload is not None:
            topic.receive(self.held_payload)
            self.held_payload = None
        await self._on_step(Column.CONFIG_SPREAD, Channel.PEER, When.AFTER, place)

    # --- operators -------------------------------------------------------------
    def propose(self, operator: str, max_replicas: int, base: int) -> Proposal:
        self._number += 1
        proposal = Proposal(operator, max_replicas, f"p-{self._number}")
        self.proposals.append(proposal)
        spawn(self._submit(proposal, base))
        return proposal

    async def _submit(self, proposal: Proposal, base: int) -> None:
        """Submit through consoles until the outcome is known."""
        while not proposal.version and not proposal.refused:
            console = Instance(self, f"{proposal.id} {self.clock.now()}")
            task = spawn(self._propose(console, proposal, base))
            died = asyncio.ensure_future(console.gate.died.wait())
            await asyncio.wait({task, died}, return_when=asyncio.FIRST_COMPLETED)
            await self.clock.sleep(2.0)

    async def _propose(self, console: Instance, proposal: Proposal, base: int) -> None:
        document = edited(proposal.max_replicas)
        try:
            result = await console.store.propose(
                document, base, proposal.operator, "", proposal=proposal.id
            )
        except EbonydealError:
            return
        match result:
            case Success(version):
                proposal.version = version
            case _:
                proposal.refused = True

    # --- strikes -----------------------------------------------------------------
    async def _before(self, operation: Operation) -> None:
        await self._on_step(_column(operation), Channel.TABLE, When.BEFORE, operation)

    async def _after(self, operation: Operation) -> None:
        await self._on_step(_column(operation), Channel.TABLE, When.AFTER, operation)

    async def _on_step(
        self, column: Column | None, channel: Channel, when: When, what: Any
    ) -> None:
        for strike in list(self.pending):
            if (strike.column, strike.channel, strike.when) == (column, channel, when):
                self.pending.remove(strike)
                await self._strike(strike, what)

    def _later(self, seconds: float, act: Any) -> None:
        async def wait() -> None:
            await self.clock.sleep(seconds)
            act()

        spawn(wait())

    async def _strike(self, strike: Strike, what: Any) -> None:
        faults = self.tables.faults
        match strike.row:
            case Row.CRASH | Row.PAUSED:
                await self._stop(strike.row, what)
            case Row.NOTICE:
                await self.replace(self.places[0])
            case Row.ZONE_WAVE:
                for place in self.places[1:]:
                    await self.replace(place)
            case Row.TABLE_DOWN:
                faults.down = True
                self._later(OUTAGE_S, lambda: setattr(faults, "down", False))
            case Row.TABLE_SLOW:
                faults.delay = SLOW_S
                self._later(OUTAGE_S, lambda: setattr(faults, "delay", 0.0))
            case Row.UNREACHABLE:
                name = self.places[0].name
                self.unreachable.add(name)
                self._later(OUTAGE_S, lambda: self.unreachable.discard(name))
            case Row.TWO_OPERATORS:
                self.propose("palermo", 40, self._head())
            case row if isinstance(what, Operation):
                faults.plan[what.number] = _FAULTS[row]
                self._later(LATE_S, self.tables.apply_late_writes)
            case row:
                self.disturbance = row

    async def _stop(self, row: Row, what: Any) -> None:
        """Kill or pause the process at this step."""
        actor = what.instance if isinstance(what, Place) else ACTOR.get()
        if row is Row.PAUSED:
            actor.gate.running.clear()
            self._later(PAUSE_S, actor.gate.running.set)
            await actor.gate.wait_until_running()
            return
        for place in self.places:
            if place.instance is actor:
                await self.replace(place)
        actor.gate.kill()
        if not isinstance(what, Place):
            await actor.gate.wait_until_running()

    def _head(self) -> int:
        row = self.tables.rows.get(HEAD_KEY)
        return 0 if row is None else int(row.value["version"])

    # --- the run and the promises ----------------------------------------------------
    async def advance_until(self, condition: Any) -> bool:
        end = self.clock.now() + MAX_RUN_S
        while not condition():
            if self.clock.now() >= end:
                return False
            await self.clock.advance(STEP_S)
        return True

    def settled(self) -> bool:
        head = self._head()
        known = all(item.version or item.refused for item in self.proposals)
        return known and all(
            place.instance.follower.document.version == head for place in self.places
        )

    async def broken_promises(self) -> list[str]:
        broken = [self._version_reverts(place) for place in self.places]
        history = {info.version: info for info in await self._reader().history()}
        for item in self.proposals:
            own = [
                version
                for version, info in history.items()
                if info.proposal.startswith(f"{item.id}.")
            ]
            if own != ([item.version] if item.version else []):
                broken.append(
                    f"{item.id} was reported as {item.version}, history {own}"
                )
        content = await self._reader().load()
        for place in self.places:
            if place.instance.follower.topic.content != content:
                broken.append(f"{place.name} does not have the content in force")
        if content.items != split(edited(self._winner(content.version))):
            broken.append("the content in force isn't what its operator sent")
        return [text for text in broken if text]

    def _reader(self) -> ConfigStore:
        return ConfigStore(self.tables, self.clock, random.Random(1))

    def _winner(self, version: int) -> int:
        return next(
            item.max_replicas for item in self.proposals if item.version == version
        )

    def _version_reverts(self, place: Place) -> str:
        """Return a revert of a process, or of a place after a version has spread."""
        for index, (_, start, version) in enumerate(place.versions_seen):
            for _, other_start, other in place.versions_seen[:index]:
                if start == other_start and other >= version:
                    return f"{place.name} went from {other} to {version}"
        first = {}
        for other_place in self.places:
            for at, _, version in other_place.versions_seen:
                first[version] = min(at, first.get(version, at))
        for at, _, version in place.versions_seen:
            for other, other_at in first.items():
                if other > version and at > other_at + SPREAD_S + OUTAGE_S:
                    return f"{place.name} took {version} long after {other}"
        return ""


def _copy(message: Any) -> Any:
    return json.loads(json.dumps(message))


def _column(operation: Operation) -> Column | None:
    """Return the column of an operation on the table."""
    if operation.name == "transact":
        return Column.CONFIG_COMMIT
    actor = ACTOR.get()
    is_follower = actor is not None and actor.follower.started
    return Column.CONFIG_SPREAD if is_follower else None


async def run_config(strikes: tuple[Strike, ...]) -> tuple[list[str], list[Strike]]:
    """Commit versions while places follow them; return broken promises."""
    world = ConfigWorld(())
    world.propose("nia", 90, 0)
    await world.advance_until(lambda: world.proposals[0].version == 1)
    await world.start_places()
    await world.advance_until(world.settled)
    world.pending = list(strikes)
    for number in range(VERSIONS):
        world.propose("nia", 80 - number, world._head())
        await world.clock.advance(4.0)
    finished = await world.advance_until(world.settled)
    world.tables.faults.down = False
    world.tables.faults.delay = 0.0
    world.tables.apply_late_writes()
    await world.clock.advance(LATE_S + 5.0)
    broken = await world.broken_promises()
    if not finished:
        broken.append("the last version is not in force everywhere")
    return broken, world.pending
