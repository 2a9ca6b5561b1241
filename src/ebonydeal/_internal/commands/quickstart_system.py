"""The quickstart's system: document, processes, and the wait until it is ready."""

import random
import secrets
from collections.abc import Callable
from typing import Any, NamedTuple

from ebonydeal._internal.commands.quickstart_tree import NodeSpec, Quickstart
from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.console.program import SECTIONS as CONSOLE_SECTIONS
from ebonydeal._internal.console.program import ConsoleProgram
from ebonydeal._internal.controller.program import SECTIONS as CONTROLLER_SECTIONS
from ebonydeal._internal.controller.program import ControllerProgram
from ebonydeal._internal.gateway.program import GatewayProgram
from ebonydeal._internal.gateway.wiring import SECTIONS as GATEWAY_SECTIONS
from ebonydeal._internal.journal.program import SECTIONS as JOURNAL_SECTIONS
from ebonydeal._internal.journal.program import JournalProgram
from ebonydeal._internal.models.endpoints import EndpointState
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.standin.attempts import EngineSpec
from ebonydeal._internal.standin.balancer import Balancer
from ebonydeal._internal.standin.platform import StandinPlatform
from ebonydeal._internal.standin.platform_spec import PlatformSpec
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.keys import hash_key

ProgressCallback = Callable[[str], None]
DOCUMENT = "cadwaladr"
ACCOUNT = "breakfast"
OPERATOR = "demo"
_JOURNAL_COUNT = 3
_KEY_BYTES = 16
_WEIGHT_LOAD_S = 0.5
_LIST_LAG_S = 0.5
_READY_POLL_INTERVAL_S = 0.1
_READY_TIMEOUT_S = 30.0
# Within this time every process has read the instance list again.
_LIST_SPREAD_S = 0.6
_MAX_SHARDS = 10_000


class QuickstartSystem(NamedTuple):
    """A supervisor tree, and the secrets that a user needs.

    ``api_key`` is of the client account `ACCOUNT`, ``operator_token`` of the
    console's operator `OPERATOR`.
    """

    tree: Quickstart
    document: dict[str, Any]
    api_key: str
    operator_token: str

    def gateway_urls(self) -> tuple[str, ...]:
        """Return the base URLs of the running gateways."""
        return tuple(
            f"http://{program.address}"
            for node_id, program in self.tree.programs.items()
            if node_id.startswith("gateway-")
        )

    def console_url(self) -> str:
        """Return the console's base URL."""
        return f"http://{self.tree.programs['console-1'].address}"


def demo_document() -> tuple[dict[str, Any], str]:
    """Return the document with one new API key, and that key."""
    document = example_document(DOCUMENT)
    key = f"demo-{secrets.token_hex(_KEY_BYTES)}"
    for account in document["accounts"]:
        is_demo = account["name"] == ACCOUNT
        account["key_hashes"] = [hash_key(key)] if is_demo else []
    return document, key


def node_specs(
    places: tuple[Place, ...], gateways: int, operator_token: str
) -> tuple[NodeSpec, ...]:
    """Return the ebonydeal processes, distributed over the zones round-robin."""
    operators = f"{OPERATOR}:{hash_key(operator_token)}"
    console = {"console": {"operators": operators}}
    kinds: list[tuple[str, int, Any, dict[str, type], dict[str, Any]]] = [
        ("journal", _JOURNAL_COUNT, JournalProgram, JOURNAL_SECTIONS, {}),
        ("controller", 1, ControllerProgram, CONTROLLER_SECTIONS, {}),
        ("console", 1, ConsoleProgram, CONSOLE_SECTIONS, console),
        ("gateway", gateways, GatewayProgram, GATEWAY_SECTIONS, {}),
    ]
    return tuple(
        NodeSpec(
            f"{name}-{number + 1}",
            places[number % len(places)],
            program,
            sections,
            changes,
        )
        for name, count, program, sections, changes in kinds
        for number in range(count)
    )


def build(
    seed: int,
    gateways: int,
    clock: Clock,
    on_progress: ProgressCallback,
    *,
    speed: float = 1.0,
) -> QuickstartSystem:
    """Return the whole system, not started.

    There are no endpoints at first: the controller starts those that the document
    requires.
    """
    rng = random.Random(seed)
    document, key = demo_document()
    token = f"operator-{secrets.token_hex(_KEY_BYTES)}"
    spec = PlatformSpec.from_document(
        document,
        {},
        seed=seed,
        speed=speed,
        list_lag=_LIST_LAG_S,
        engine=EngineSpec(load_seconds=_WEIGHT_LOAD_S),
    )
    nodes = node_specs(spec.places, gateways, token)
    world = StandinPlatform(spec, clock=clock)
    tree = Quickstart(world, nodes, document, clock, rng, on_progress)
    return QuickstartSystem(tree, document, key, token)


def count_owned_shards(world: StandinPlatform) -> int:
    """Return the number of journal shards that have an owner."""
    rows = world.tables.tables.rows.scan("shards/", "", _MAX_SHARDS)
    return sum(1 for row in rows if row.value.get("address"))


def cold_deployments(world: StandinPlatform, document: dict[str, Any]) -> list[str]:
    """Return the deployments with fewer warm endpoints listed than their minimum."""
    cold = []
    for item in document["deployments"]:
        adapters = {adapter["name"] for adapter in item.get("adapters", ())}
        required = adapters | set(item.get("models", ()))
        warm = sum(
            1
            for view in world.views()
            if view.deployment == item["name"]
            and view.state is EndpointState.READY
            and required <= set(view.models)
        )
        if warm < item["replicas"]["min"]:
            cold.append(item["name"])
    return cold


async def wait_ready(
    system: QuickstartSystem, balancer: Balancer, clock: Clock
) -> None:
    """Wait until all gateways, journal shards and endpoints are ready.

    Raises TimeoutError.
    """
    world = system.tree.world
    gateways = len(system.gateway_urls())
    shards: int = JOURNAL_SECTIONS["journal"]().shards
    deadline = clock.now() + _READY_TIMEOUT_S
    while (
        balancer.ready < gateways
        or count_owned_shards(world) < shards
        or cold_deployments(world, system.document)
    ):
        if clock.now() > deadline:
            raise TimeoutError(
                f"{balancer.ready} of {gateways} gateways ready, "
                f"{count_owned_shards(world)} of {shards} journal shards owned, "
                f"cold deployments: {cold_deployments(world, system.document)}"
            )
        await clock.sleep(_READY_POLL_INTERVAL_S)
    await clock.sleep(_LIST_LAG_S + _LIST_SPREAD_S)
