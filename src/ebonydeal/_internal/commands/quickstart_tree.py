"""The supervisor tree of the quickstart: a small system in one process."""

import random
import secrets
from collections.abc import Callable
from typing import Any, NamedTuple

from mode import Service
from returns.result import Failure

from ebonydeal._internal.config.store import ConfigStore
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.tables import HttpTables
from ebonydeal._internal.settings.sections import PlatformSettings
from ebonydeal._internal.standin.platform import StandinPlatform
from ebonydeal._internal.utils.clock import Clock

Sections = dict[str, Any]
_CREDENTIAL_BYTES = 16
# Settings in which the quickstart differs from the defaults, which are meant for real
# fleets. A program uses only the sections that it has.
QUICKSTART_VALUES: dict[str, dict[str, Any]] = {
    "node": {"drain_seconds": 10.0},
    "peers": {"port": 0, "period": 0.3},
    "journal": {
        "port": 0,
        "settle_seconds": 0.5,
        "renew_seconds": 1.0,
        "lease_seconds": 4.0,
    },
    "gateway": {"port": 0, "settle_seconds": 0.4},
    "console": {"port": 0},
    "controller": {
        "period": 0.5,
        "notice_period": 0.2,
        "lease_ttl": 3.0,
        "longest_order": 3.0,
    },
    "directory": {
        "list_period": 0.3,
        "list_lag": 2.0,
        "notices_period": 0.3,
        "load_period": 1.0,
        "events_period": 0.5,
    },
}


def default_sections(classes: dict[str, type]) -> Sections:
    """Return every section of a program with its quickstart values."""
    sections = {}
    for name, cls in classes.items():
        section: Any = cls()
        changes = {
            key: value
            for key, value in QUICKSTART_VALUES.get(name, {}).items()
            if key in section._fields
        }
        sections[name] = section._replace(**changes)
    return sections


class NodeSpec(NamedTuple):
    """One ebonydeal process of the quickstart: its id, place and program class.

    ``sections`` are the program's settings classes by name, ``changes`` the values
    that differ for this process, by section.
    """

    node_id: str
    place: Place
    program: Any
    sections: dict[str, type]
    changes: dict[str, dict[str, Any]] = {}


def node_settings(
    spec: NodeSpec, platform: PlatformSettings, credential: str, seeds: list[str]
) -> Sections:
    """Return the settings of one process."""
    settings = default_sections(spec.sections)
    settings["node"] = settings["node"]._replace(
        id=spec.node_id, region=spec.place.region, zone=spec.place.zone
    )
    settings["platform"] = platform
    settings["peers"] = settings["peers"]._replace(
        seeds=",".join(seeds), credential=credential
    )
    for name, changes in spec.changes.items():
        settings[name] = settings[name]._replace(**changes)
    return settings


class Quickstart(Service):
    """The simulated platform and the ebonydeal processes, as one supervisor tree.

    Parameters
    ----------
    world : StandinPlatform
        The simulated platform.
    nodes : sequence of NodeSpec
        Processes, started in this order.
    document : dict
        Configuration, published before the first process starts.
    clock : Clock
        Clock of all processes.
    rng : random.Random
        Source of ids and jitter.
    on_progress : callable
        Called with a line of text for each step.
    """

    def __init__(
        self,
        world: StandinPlatform,
        nodes: tuple[NodeSpec, ...],
        document: dict[str, Any],
        clock: Clock,
        rng: random.Random,
        on_progress: Callable[[str], None],
    ) -> None:
        super().__init__()
        self.world = world
        self.programs: dict[str, Any] = {}
        self.metrics: dict[str, Metrics] = {}
        self.credential = secrets.token_hex(_CREDENTIAL_BYTES)
        self._nodes = nodes
        self._document = document
        self._clock = clock
        self._rng = rng
        self._on_progress = on_progress
        self._seeds: list[str] = []
        self.add_dependency(world)

    async def on_started(self) -> None:
        """Publish the document, then start the processes."""
        zones = ", ".join(place.zone for place in self.world.spec.places)
        self._on_progress(f"platform: availability zones {zones}")
        version = await self._accept_document()
        self._on_progress(f"configuration: version {version} is in force")
        for spec in self._nodes:
            await self.start_node(spec)

    async def _accept_document(self) -> int:
        """Publish the document; raises BAD_DOCUMENT with the first problem."""
        tables = HttpTables.from_config(self.world.platform_settings())
        try:
            store = ConfigStore(tables, self._clock, self._rng)
            result = await store.propose(self._document, 0, "quickstart", "first")
        finally:
            await tables.close()
        if isinstance(result, Failure):
            raise EbonydealError(ErrorKind.BAD_DOCUMENT, str(result.failure()))
        return result.unwrap()

    async def start_node(self, spec: NodeSpec) -> Any:
        """Start one process and return its program."""
        settings = node_settings(
            spec, self.world.platform_settings(), self.credential, self._seeds
        )
        metrics = Metrics()
        rng = random.Random(self._rng.getrandbits(64))
        program = spec.program.from_config(settings, metrics, self._clock, rng)
        await self.add_runtime_dependency(program)
        self.programs[spec.node_id] = program
        self.metrics[spec.node_id] = metrics
        self._register_peer(spec, program)
        self._on_progress(f"{spec.node_id}: {program.address} in {spec.place.zone}")
        return program

    def _register_peer(self, spec: NodeSpec, program: Any) -> None:
        """Let later processes discover this one, as through the platform's list."""
        peers = getattr(program, "peers", None)
        if peers is not None:
            self._seeds.append(peers.address)
            self.world.listing.set_node(spec.node_id, peers.address)

    async def stop_node(self, node_id: str) -> None:
        """Stop one process gracefully, as in a planned stop."""
        program = self.programs.pop(node_id)
        self.world.listing.remove_node(node_id)
        await self.remove_dependency(program)

    def total_counts(self) -> dict[str, dict[str, int]]:
        """Return refusals, retries and events, summed over all processes."""
        sums: dict[str, dict[str, int]] = {"refusals": {}, "retries": {}, "events": {}}
        for metrics in self.metrics.values():
            for name, counts in (
                ("refusals", metrics.refusals()),
                ("retries", metrics.retries()),
                ("events", metrics.events()),
            ):
                for label, count in counts.items():
                    sums[name][label] = sums[name].get(label, 0) + int(count)
        return {name: dict(sorted(counts.items())) for name, counts in sums.items()}
