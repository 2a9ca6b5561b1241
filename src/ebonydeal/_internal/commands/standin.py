"""``ebonydeal standin``: small stand-ins of the platform, for testing."""

import json
import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from mode import Service

from ebonydeal._internal.config.examples import EXAMPLE_NAMES, example_document
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.observe.logs import configure_logs
from ebonydeal._internal.outside.instances import endpoint_from_message
from ebonydeal._internal.outside.interfaces import CloudInstance, Offer, WeightCopy
from ebonydeal._internal.settings.sections import LogSettings
from ebonydeal._internal.standin.admin import PlatformAdmin
from ebonydeal._internal.standin.attempts import EngineSpec
from ebonydeal._internal.standin.cloud import CloudServer
from ebonydeal._internal.standin.engine import StandinEngine
from ebonydeal._internal.standin.listing import InstanceListServer
from ebonydeal._internal.standin.platform import StandinPlatform
from ebonydeal._internal.standin.platform_spec import PlatformSpec
from ebonydeal._internal.standin.service import ServiceSpec, StandinService
from ebonydeal._internal.standin.stores import ObjectsServer, TablesServer
from ebonydeal._internal.standin.weights import WeightStoreServer
from ebonydeal._internal.utils.run import run_program

PORTS = {
    "tables": 9101,
    "objects": 9102,
    "cloud": 9103,
    "instances": 9104,
    "weights": 9105,
}
_ADMIN_PORT = 9100

port_option = click.option(
    "--port", type=click.IntRange(0, 65535), default=0, help="0 chooses a free port."
)


def _run(build: Callable[[], Service]) -> None:
    """Run a stand-in until it is interrupted, and print its address."""
    configure_logs(LogSettings())
    sys.exit(run_program(lambda: _AddressPrinter(build())))


class _AddressPrinter(Service):
    """Runs a stand-in and prints its address once, as JSON."""

    def __init__(self, service: Service) -> None:
        super().__init__()
        self._service: Any = service
        self.add_dependency(service)

    async def on_started(self) -> None:
        """Print the address of the stand-in."""
        click.echo(json.dumps({"address": self._service.server.address}))


@click.group("standin")
def standin_command() -> None:
    """Run a stand-in of an external system, for testing."""


@standin_command.command()
@port_option
@click.option("--writes-per-s", type=float, default=0.0, help="Limit; 0: none.")
@click.option("--reads-per-s", type=float, default=0.0, help="Limit; 0: none.")
def tables(port: int, writes_per_s: float, reads_per_s: float) -> None:
    """Run a table service that keeps its rows in memory."""
    _run(
        lambda: TablesServer(
            port=port, writes_per_s=writes_per_s, reads_per_s=reads_per_s
        )
    )


@standin_command.command()
@port_option
def objects(port: int) -> None:
    """Run an object store that keeps its objects in memory."""
    _run(lambda: ObjectsServer(port=port))


@standin_command.command()
@port_option
@click.option("--rate", type=float, default=10.0, help="Gigabytes per second.")
@click.option("--model", "models", multiple=True, help="A model in the store.")
def weights(port: int, rate: float, models: tuple[str, ...]) -> None:
    """Run a weight store."""
    copies = tuple(WeightCopy("store", name, 14.0, "") for name in models)
    _run(lambda: WeightStoreServer(copies, rate, port=port))


@standin_command.command()
@port_option
@click.option("--lag", type=float, default=1.0, help="Seconds.")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def instances(port: int, lag: float, file: Path) -> None:
    """Run an instance list that serves FILE, which has the format of the response."""
    try:
        listed = json.loads(file.read_text(encoding="utf-8"))
        views = [endpoint_from_message(item) for item in listed["endpoints"]]
        nodes = {item["id"]: item["address"] for item in listed.get("nodes", ())}
    except (ValueError, KeyError, TypeError) as exc:
        raise click.ClickException(f"{file}: {exc!r}") from exc
    _run(lambda: _instance_list(views, nodes, lag, port))


def _instance_list(
    views: list[EndpointView], nodes: dict[str, str], lag: float, port: int
) -> InstanceListServer:
    """Return a server that lists these endpoints and nodes."""
    server = InstanceListServer(lag, port=port)
    for view in views:
        server.set_endpoint(view)
    for node_id, address in nodes.items():
        server.set_node(node_id, address)
    return server


@standin_command.command()
@port_option
@click.option("--zone", "zones", multiple=True, default=("local-1",))
@click.option("--price", type=float, default=1.0, help="Price per hour of each offer.")
def cloud(port: int, zones: tuple[str, ...], price: float) -> None:
    """Run a cloud API whose instances run nothing; "all" runs real ones."""
    offers = tuple(Offer(zone, "standard", True, price, 0.5, 8) for zone in zones)
    _run(lambda: CloudServer(_launch_nothing, _stop_nothing, offers, port=port))


async def _launch_nothing(_instance: CloudInstance) -> str:
    """Start no process for an instance."""
    return ""


async def _stop_nothing(_instance_id: str) -> None:
    """Stop no process of an instance."""


@standin_command.command()
@port_option
@click.option("--id", "endpoint_id", default="engine-1", show_default=True)
@click.option("--model", "models", multiple=True, required=True)
@click.option("--speed", type=click.FloatRange(0.01, 1000), default=1.0)
@click.option("--check-fence/--ignore-fence", default=True)
@click.option("--seed", type=int, default=1)
def engine(
    port: int,
    endpoint_id: str,
    models: tuple[str, ...],
    speed: float,
    check_fence: bool,
    seed: int,
) -> None:
    """Run a model engine whose answers are a function of the prompt."""
    spec = EngineSpec(checks_fence=check_fence).at_speed(speed)
    rng = random.Random(seed)
    _run(lambda: StandinEngine(endpoint_id, models, spec, rng, port=port))


@standin_command.command()
@port_option
@click.option("--id", "endpoint_id", default="service-1", show_default=True)
@click.option("--speed", type=click.FloatRange(0.01, 1000), default=1.0)
def service(port: int, endpoint_id: str, speed: float) -> None:
    """Run a plain service that records every call it ran."""
    spec = ServiceSpec().at_speed(speed)
    _run(lambda: StandinService(endpoint_id, spec, port=port))


def read_document(name: str) -> dict[str, Any]:
    """Return an example document by name, or a document from a file."""
    if name in EXAMPLE_NAMES:
        return example_document(name)
    try:
        return json.loads(Path(name).read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise click.ClickException(f"document {name}: {exc}") from exc


def read_replicas(
    assignments: tuple[str, ...], document: dict[str, Any], default: int
) -> dict[str, int]:
    """Return replicas by deployment from assignments such as ``kitchen=5``."""
    replicas = {item["name"]: default for item in document["deployments"]}
    for assignment in assignments:
        name, _sep, count = assignment.partition("=")
        if name not in replicas or not count.isdecimal():
            known = ", ".join(replicas)
            raise click.BadParameter(f"'{assignment}': NAME=COUNT with one of {known}")
        replicas[name] = int(count)
    return replicas


@standin_command.command("all")
@click.option("--document", default="cadwaladr", help="Example name or file.")
@click.option("--replicas", multiple=True, metavar="NAME=COUNT")
@click.option("--speed", type=click.FloatRange(0.01, 1000), default=1.0)
@click.option("--list-lag", type=float, default=1.0, help="Seconds.")
@click.option("--seed", type=int, default=1)
@click.option("--free-ports", is_flag=True, help="Instead of ports 9100 to 9105.")
def whole_world(
    document: str,
    replicas: tuple[str, ...],
    speed: float,
    list_lag: float,
    seed: int,
    free_ports: bool,
) -> None:
    """Run all that a document needs, with admin pages for reclaims and faults.

    The printed address serves /log, /endpoints, /reclaim, /kill and /faults.
    """
    content = read_document(document)
    spec = PlatformSpec.from_document(
        content,
        read_replicas(replicas, content, 3),
        speed=speed,
        list_lag=list_lag,
        seed=seed,
    )
    ports = {} if free_ports else PORTS
    _run(lambda: _WholeWorld(spec, ports, 0 if free_ports else _ADMIN_PORT))


class _WholeWorld(Service):
    """A simulated platform and its admin pages."""

    def __init__(self, spec: PlatformSpec, ports: dict[str, int], port: int) -> None:
        super().__init__()
        world = StandinPlatform(spec, ports=ports)
        admin = PlatformAdmin(world, port)
        self.server = admin.server
        self.add_dependency(world)
        self.add_dependency(admin)
