"""The quickstart's run: load on the small system while a zone is taken back."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from ebonydeal._internal.commands.quickstart_tree import NodeSpec, Quickstart
from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.gateway.program import GatewayProgram
from ebonydeal._internal.gateway.wiring import SECTIONS as GATEWAY_SECTIONS
from ebonydeal._internal.journal.program import SECTIONS as JOURNAL_SECTIONS
from ebonydeal._internal.journal.program import JournalProgram
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.standin.balancer import Balancer
from ebonydeal._internal.standin.check import check
from ebonydeal._internal.standin.load import LoadRun, LoadSpec
from ebonydeal._internal.standin.report import summary
from ebonydeal._internal.standin.world import StandinWorld
from ebonydeal._internal.standin.worldspec import WorldSpec
from ebonydeal._internal.utils.clock import Clock, SystemClock
from ebonydeal._internal.utils.keys import hash_key

Tell = Callable[[str], None]
DOCUMENT = "cadwaladr"
ACCOUNT = "breakfast"
REPLICAS = {"kitchen": 9, "paperwork": 3}
_JOURNALS = 3
_KEY_BITS = 128
_READY_POLL_S = 0.1
_READY_S = 30.0
_MOST_SHARDS = 10_000


class QuickstartOptions(NamedTuple):
    """What a quick run does.

    Attributes
    ----------
    seed : int
        Of prompts, arrivals, ids and choices.
    seconds : float
        How long new requests are sent.
    gateways : int
        How many gateways.
    notice_seconds : float
        From the notice of the zone's reclaim until its endpoints die.
    reclaim : bool
        Whether a zone is taken back midway.
    speed : float
        Factor on the pace of the endpoints.
    load : dict
        Changes of `LoadSpec`.
    """

    seed: int = 1
    seconds: float = 20.0
    gateways: int = 3
    notice_seconds: float = 2.0
    reclaim: bool = True
    speed: float = 1.0
    load: dict[str, Any] = {"max_tokens": 240}


def demo_document(rng: random.Random) -> tuple[dict[str, Any], str]:
    """Return the document with one fresh API key, and that key."""
    document = example_document(DOCUMENT)
    key = f"demo-{rng.getrandbits(_KEY_BITS):032x}"
    for account in document["accounts"]:
        is_demo = account["name"] == ACCOUNT
        account["key_hashes"] = [hash_key(key)] if is_demo else []
    return document, key


def node_specs(places: tuple[Place, ...], gateways: int) -> tuple[NodeSpec, ...]:
    """Return the own processes, spread over the zones in turn."""

    def place(number: int) -> Place:
        return places[number % len(places)]

    journals = [
        NodeSpec(f"journal-{n + 1}", place(n), JournalProgram, JOURNAL_SECTIONS)
        for n in range(_JOURNALS)
    ]
    fronts = [
        NodeSpec(f"gateway-{n + 1}", place(n), GatewayProgram, GATEWAY_SECTIONS)
        for n in range(gateways)
    ]
    return (*journals, *fronts)


def build(
    options: QuickstartOptions, clock: Clock, tell: Tell
) -> tuple[Quickstart, str]:
    """Return the tree, not started, and the demo API key."""
    rng = random.Random(options.seed)
    document, key = demo_document(rng)
    spec = WorldSpec.from_document(
        document, REPLICAS, seed=options.seed, speed=options.speed
    )
    nodes = node_specs(spec.places, options.gateways)
    tree = Quickstart(
        StandinWorld(spec, clock=clock), nodes, document, clock, rng, tell
    )
    return tree, key


def gateway_urls(tree: Quickstart) -> tuple[str, ...]:
    """Return the base URLs of the gateways that run."""
    return tuple(
        f"http://{program.address}"
        for node_id, program in tree.programs.items()
        if node_id.startswith("gateway-")
    )


def owned_shards(tree: Quickstart) -> int:
    """Return how many journal shards have an owner."""
    rows = tree.world.tables.tables.rows.scan("shards/", "", _MOST_SHARDS)
    return sum(1 for row in rows if row.value.get("address"))


async def wait_ready(tree: Quickstart, balancer: Balancer, clock: Clock) -> None:
    """Wait until all gateways are ready and all shards have owners.

    Raises TimeoutError.
    """
    gateways = len(gateway_urls(tree))
    shards: int = JOURNAL_SECTIONS["journal"]().shards
    until = clock.now() + _READY_S
    while balancer.ready < gateways or owned_shards(tree) < shards:
        if clock.now() > until:
            raise TimeoutError(
                f"{balancer.ready} of {gateways} gateways are ready, and "
                f"{owned_shards(tree)} of {shards} journal shards have owners"
            )
        await clock.sleep(_READY_POLL_S)


async def run_quickstart(options: QuickstartOptions, tell: Tell) -> dict[str, Any]:
    """Run it all and return the figures."""
    clock = SystemClock()
    began = time.monotonic()
    tree, key = build(options, clock, tell)
    await tree.start()
    try:
        records = await _run_load(tree, key, options, clock, tell)
        logs = tree.world.logs()
        counted = tree.counted()
    finally:
        await tree.stop()
    result = summary(records, check(records, logs))
    kinds = [counts["sent"] for counts in result["by_kind"].values()]
    result["ok"] = result["ok"] and all(kinds)
    result["counted"] = counted
    result["seconds"] = round(time.monotonic() - began, 1)
    return result


async def _run_load(
    tree: Quickstart, key: str, options: QuickstartOptions, clock: Clock, tell: Tell
) -> list:
    """Send the load, take a zone back midway, return the callers' logs."""
    urls = gateway_urls(tree)
    balancer = Balancer(urls)
    await balancer.start()
    try:
        await wait_ready(tree, balancer, clock)
        load = LoadSpec.from_document(
            example_document(DOCUMENT),
            ACCOUNT,
            key,
            seconds=options.seconds,
            seed=options.seed,
            **options.load,
        )
        tell(f"load: four kinds of requests for {options.seconds:g} s")
        run = LoadRun(load, balancer, clock)
        reclaim = asyncio.create_task(_reclaim(tree, options, clock, tell))
        try:
            records = await run.run()
            await reclaim
        finally:
            reclaim.cancel()
    finally:
        await balancer.stop()
    whole = sum(record.is_whole for record in records)
    tell(f"load: {whole} of {len(records)} requests were answered")
    return records


async def _reclaim(
    tree: Quickstart, options: QuickstartOptions, clock: Clock, tell: Tell
) -> None:
    """Take back the first availability zone midway."""
    if not options.reclaim:
        return
    await clock.sleep(options.seconds / 2)
    zone = tree.world.spec.places[0].zone
    count = sum(1 for view in tree.world.views() if view.place.zone == zone)
    tell(f"reclaim: zone {zone} with {count} endpoints, {options.notice_seconds:g} s")
    tree.world.reclaim_zone(zone, options.notice_seconds)
    await clock.sleep(options.notice_seconds)
    tell(f"reclaim: zone {zone} is gone")
