"""Commit and spread of configuration versions under one or more faults.

Real stores and followers; the table, the clock and the way between peers are in
memory. A place is what an instance and its replacements are to its users.
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
    Behind,
    BehindClock,
    Channel,
    Column,
    Gate,
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
LONGEST_S = 300.0
VERSIONS = 4

_FAULTS = {
    Row.TABLE_LOST: Fault.LOST_ANSWER,
    Row.TABLE_REFUSED: Fault.REFUSED,
    Row.LATE: Fault.LATE,
    Row.DUPLICATED: Fault.DUPLICATE,
    Row.REORDERED: Fault.LATE,
}


def edited(most: int) -> dict[str, Any]:
    document = example_document("cadwaladr")
    document["deployments"][0]["replicas"]["max"] = most
    return document


class Instance:
    """One process that follows the configuration, or an operator's console."""

    def __init__(self, world: "ConfigWorld", seed: str) -> None:
        self.gate = Gate()
        clock = BehindClock(world.clock, self.gate)
        tables = Behind(world.tables, self)
        rng = random.Random(seed)
        self.follower = ConfigFollower(tables, Metrics(), clock, rng, lambda: 200)
        self.store = ConfigStore(tables, clock, rng)


class ConfigWorld:
    """Everything outside the processes, and the strikes that are due."""

    def __init__(self, strikes: tuple[Strike, ...]) -> None:
        self.due = list(strikes)
        self.clock = MatrixClock()
        self.tables = MemoryTables(self.clock)
        self.tables.faults.before = self._before
        self.tables.faults.after = self._after
        self.places: list[Place] = []
        self.proposals: list[Proposal] = []
        self.twist = ""
        self.held: dict[str, Any] | None = None
        self.unreachable: set[str] = set()
        self._number = 0

    # --- places --------------------------------------------------------------
    async def start_places(self) -> None:
        for number in range(PLACES):
            place = Place(f"g-{number}", Instance(self, f"g-{number}"))
            self.places.append(place)
            await self._start(place)
            spawn(self._rounds(place))

    async def _start(self, place: Place) -> None:
        instance, start = place.instance, place.starts

        def changed(document: Any) -> None:
            place.seen.append((self.clock.now(), start, document.version))

        instance.follower.on_change(changed)
        await instance.follower.start()

    async def replace(self, place: Place) -> None:
        """End an instance; a fresh one starts in its place."""
        place.instance.gate.kill()
        place.starts += 1
        place.instance = Instance(self, f"{place.name} {place.starts}")
        await self._start(place)

    async def _rounds(self, place: Place) -> None:
        """Exchange configuration with a peer now and then, as peer rounds do."""
        rng = random.Random(f"rounds {place.name}")
        while True:
            await self.clock.sleep(ROUND_S * rng.uniform(0.8, 1.2))
            gate = place.instance.gate
            other = rng.choice([item for item in self.places if item is not place])
            apart = {place.name, other.name} & self.unreachable
            if apart or not gate.running.is_set():
                continue
            if not other.instance.gate.running.is_set():
                continue
            digest = _copy(place.instance.follower.topic.digest())
            payload = other.instance.follower.topic.payload_for(digest)
            if payload is not None:
                await self._deliver(place, _copy(payload))

    async def _deliver(self, place: Place, payload: dict[str, Any]) -> None:
        await self._reach(Column.CONFIG_SPREAD, Channel.PEER, When.BEFORE, place)
        topic = place.instance.follower.topic
        twist, self.twist = self.twist, ""
        if twist == Row.LATE:
            self._later(LATE_S, lambda: topic.receive(payload))
            return
        if twist == Row.REORDERED:
            self.held = payload
            return
        topic.receive(payload)
        if twist == Row.DUPLICATED:
            topic.receive(payload)
            self._later(LATE_S, lambda: topic.receive(payload))
        if self.held is not None:
            topic.receive(self.held)
            self.held = None
        await self._reach(Column.CONFIG_SPREAD, Channel.PEER, When.AFTER, place)

    # --- operators -------------------------------------------------------------
    def propose(self, operator: str, most: int, base: int) -> Proposal:
        self._number += 1
        proposal = Proposal(operator, most, f"p-{self._number}")
        self.proposals.append(proposal)
        spawn(self._submit(proposal, base))
        return proposal

    async def _submit(self, proposal: Proposal, base: int) -> None:
        """Submit through consoles until the outcome is known."""
        while not proposal.version and not proposal.refused:
            console = Instance(self, f"{proposal.id} {self.clock.now()}")
            task = spawn(self._try(console, proposal, base))
            died = asyncio.ensure_future(console.gate.died.wait())
            await asyncio.wait({task, died}, return_when=asyncio.FIRST_COMPLETED)
            await self.clock.sleep(2.0)

    async def _try(self, console: Instance, proposal: Proposal, base: int) -> None:
        document = edited(proposal.most)
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
        await self._reach(_column(operation), Channel.TABLE, When.BEFORE, operation)

    async def _after(self, operation: Operation) -> None:
        await self._reach(_column(operation), Channel.TABLE, When.AFTER, operation)

    async def _reach(
        self, column: Column | None, channel: Channel, when: When, what: Any
    ) -> None:
        for strike in list(self.due):
            if (strike.column, strike.channel, strike.when) == (column, channel, when):
                self.due.remove(strike)
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
                self.twist = row

    async def _stop(self, row: Row, what: Any) -> None:
        """Kill or pause the process that is at this step."""
        actor = what.instance if isinstance(what, Place) else ACTOR.get()
        if row is Row.PAUSED:
            actor.gate.running.clear()
            self._later(PAUSE_S, actor.gate.running.set)
            await actor.gate.passed()
            return
        for place in self.places:
            if place.instance is actor:
                await self.replace(place)
        actor.gate.kill()
        if not isinstance(what, Place):
            await actor.gate.passed()

    def _head(self) -> int:
        row = self.tables.rows.get(HEAD_KEY)
        return 0 if row is None else int(row.value["version"])

    # --- the run and the promises ----------------------------------------------------
    async def until(self, condition: Any) -> bool:
        end = self.clock.now() + LONGEST_S
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
        broken = [self._reverts(place) for place in self.places]
        history = {info.version: info for info in await self._reader().history()}
        for item in self.proposals:
            own = [
                version
                for version, info in history.items()
                if info.proposal.startswith(f"{item.id}.")
            ]
            if own != ([item.version] if item.version else []):
                broken.append(f"{item.id} told {item.version}, history {own}")
        content = await self._reader().load()
        for place in self.places:
            if place.instance.follower.topic.content != content:
                broken.append(f"{place.name} has not the content in force")
        if content.items != split(edited(self._winner(content.version))):
            broken.append("the content in force isn't what its operator sent")
        return [text for text in broken if text]

    def _reader(self) -> ConfigStore:
        return ConfigStore(self.tables, self.clock, random.Random(1))

    def _winner(self, version: int) -> int:
        return next(item.most for item in self.proposals if item.version == version)

    def _reverts(self, place: Place) -> str:
        """A process never goes back; nor does any place, once a version has spread."""
        for index, (_, start, version) in enumerate(place.seen):
            for _, other_start, other in place.seen[:index]:
                if start == other_start and other >= version:
                    return f"{place.name} went from {other} to {version}"
        first = {}
        for other_place in self.places:
            for at, _, version in other_place.seen:
                first[version] = min(at, first.get(version, at))
        for at, _, version in place.seen:
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
    """Commit some versions while places follow; return broken promises."""
    world = ConfigWorld(())
    world.propose("nia", 90, 0)
    await world.until(lambda: world.proposals[0].version == 1)
    await world.start_places()
    await world.until(world.settled)
    world.due = list(strikes)
    for number in range(VERSIONS):
        world.propose("nia", 80 - number, world._head())
        await world.clock.advance(4.0)
    finished = await world.until(world.settled)
    world.tables.faults.down = False
    world.tables.faults.delay = 0.0
    world.tables.apply_late_writes()
    await world.clock.advance(LATE_S + 5.0)
    broken = await world.broken_promises()
    if not finished:
        broken.append("the last version is not in force everywhere")
    return broken, world.due
