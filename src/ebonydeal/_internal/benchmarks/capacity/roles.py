"""From measured slopes to what one process of each role needs at a size; pure."""

from collections.abc import Mapping
from typing import NamedTuple

from ebonydeal._internal.benchmarks.capacity.fit import Slope
from ebonydeal._internal.benchmarks.capacity.plan import RolePlan
from ebonydeal._internal.benchmarks.capacity.size import Size

_US = 1_000_000.0
_MB = 1_000_000.0
# Bytes that are no slope: one HTTP exchange of a small message with headers, one
# fact of the instance list on the wire, one configuration change with its row,
# one log of a decision, one remembered prefix block.
CALL_BYTES = 500.0
FACT_BYTES = 180.0
CHANGE_BYTES = 1200.0
BLOCK_BYTES = 150.0
PREFIX_BLOCKS = 200_000.0
LIVE_SECONDS = 60.0


class Item(NamedTuple):
    """One part of what a process needs.

    Attributes
    ----------
    what : str
        The work or state.
    mechanism : str
        What keeps it small.
    bytes_s : float
        Bytes that the process sends and reads a second.
    cpu_us : float
        Processor microseconds a second.
    memory_mb : float
        Megabytes.
    """

    what: str
    mechanism: str
    bytes_s: float
    cpu_us: float
    memory_mb: float


class Role(NamedTuple):
    """All control of one process of a role, and its table operations."""

    name: str
    processes: int
    items: tuple[Item, ...]
    reads_s: float
    writes_s: float

    @property
    def bytes_s(self) -> float:
        """Control bytes a second of one process."""
        return sum(item.bytes_s for item in self.items)

    @property
    def cpu_share(self) -> float:
        """Share of one core that control takes."""
        return sum(item.cpu_us for item in self.items) / _US

    @property
    def memory_mb(self) -> float:
        """Megabytes of one process."""
        return sum(item.memory_mb for item in self.items)


class Slopes:
    """Measured slopes by key."""

    def __init__(self, slopes: Mapping[str, Slope]) -> None:
        self._slopes = slopes

    def at(self, key: str, size: float) -> float:
        """Return a slope's value at a size."""
        return self._slopes[key].at(size)

    def step(self, key: str) -> float:
        """Return the slope alone."""
        return self._slopes[key].slope


def _peers(slopes: Slopes, size: Size) -> Item:
    return Item(
        "peer rounds: membership, marks, demand",
        "digests by hash, bounded reports",
        slopes.at("peers.bytes", size.nodes),
        slopes.at("peers.cpu", size.nodes) + slopes.at("members.tick", size.nodes),
        slopes.at("members.memory", size.nodes) / _MB,
    )


def _list(slopes: Slopes, size: Size, plan: RolePlan) -> Item:
    readers = plan.gateways + plan.journals
    reads_s = 1.0 / (plan.list_period * readers)
    facts_s = size.endpoint_changes_per_s
    spread = facts_s * plan.push_fanout * (FACT_BYTES + CALL_BYTES)
    return Item(
        "instance list",
        "one reading in turn, differences pushed",
        reads_s * slopes.at("list.bytes", size.replicas) + spread,
        reads_s * slopes.at("list.cpu", size.replicas)
        + facts_s * plan.push_fanout * slopes.step("call.cpu"),
        2 * slopes.at("list.memory", size.replicas) / _MB,
    )


def _config(slopes: Slopes, size: Size, plan: RolePlan) -> Item:
    calls_s = 1.0 / plan.config_poll_s + size.changes_per_s
    return Item(
        "configuration",
        "deltas by item, a poll of the head alone",
        size.changes_per_s * CHANGE_BYTES + calls_s * CALL_BYTES,
        calls_s * slopes.step("call.cpu"),
        5.0,
    )


def _watch(slopes: Slopes, plan: RolePlan) -> Item:
    polls_s = plan.subset / plan.load_period + plan.subset / plan.events_period
    return Item(
        "load and cache events of idle endpoints",
        "subset of endpoints; loads ride on answers",
        polls_s * CALL_BYTES,
        polls_s * slopes.step("call.cpu"),
        PREFIX_BLOCKS * BLOCK_BYTES / _MB,
    )


def _process(slopes: Slopes) -> Item:
    return Item("interpreter and libraries", "", 0.0, 0.0, slopes.at("rss", 0))


def gateway(slopes: Slopes, size: Size, plan: RolePlan) -> Role:
    """Return what one gateway needs."""
    items = (
        _process(slopes),
        _peers(slopes, size),
        _list(slopes, size, plan),
        _config(slopes, size, plan),
        _watch(slopes, plan),
    )
    reads = 1.0 / plan.config_poll_s + size.changes_per_s
    return Role("gateway", plan.gateways, items, reads, 0.0)


def journal(slopes: Slopes, size: Size, plan: RolePlan) -> Role:
    """Return what one journal needs beside the records themselves."""
    reads = slopes.step("journal.reads")
    writes = slopes.step("journal.writes")
    leases = Item(
        "node lease and shard claims",
        "one lease a process, rendezvous hashing",
        (reads + writes) * CALL_BYTES,
        (reads + writes) * slopes.step("call.cpu"),
        0.0,
    )
    live = size.durable_per_s * LIVE_SECONDS / plan.journals
    state = Item(
        f"requests that are not final ({LIVE_SECONDS:.0f} s of them)",
        "folded state, bodies dropped at the end",
        0.0,
        0.0,
        slopes.at("journal.memory", live) / _MB,
    )
    items = (
        _process(slopes),
        _peers(slopes, size),
        _list(slopes, size, plan),
        _config(slopes, size, plan),
        leases,
        state,
    )
    polls = 1.0 / plan.config_poll_s + size.changes_per_s
    return Role("journal", plan.journals, items, reads + polls, writes)


def controller(slopes: Slopes, size: Size, plan: RolePlan) -> Role:
    """Return what one controller needs; deployments are spread over them."""
    replicas = size.replicas / plan.controllers
    churn = size.endpoint_changes_per_s / plan.controllers
    rounds = Item(
        "rounds of its deployments",
        "one lease a deployment, bounded questions to engines",
        replicas / plan.round_period * 0.1 * CALL_BYTES,
        slopes.step("round.cpu") * replicas / plan.round_period,
        slopes.at("plan.memory", replicas) / _MB,
    )
    changes = Item(
        "starts, orders, releases",
        "one row a change of state",
        churn * 6 * CALL_BYTES,
        churn * 6 * slopes.step("call.cpu"),
        0.0,
    )
    items = (
        _process(slopes),
        _config(slopes, size, plan),
        rounds,
        changes,
    )
    tables = slopes.at("round.tables", 0) / plan.round_period
    return Role("controller", plan.controllers, items, tables, churn * 4)


def console(slopes: Slopes, size: Size, plan: RolePlan) -> Role:
    """Return what one console needs at the rate of changes."""
    changes = size.changes_per_s / plan.consoles
    work = Item(
        "accepting documents",
        "one transaction a change, only changed items",
        changes * 4 * CHANGE_BYTES,
        changes * 20_000.0,
        20.0,
    )
    items = (_process(slopes), _config(slopes, size, plan), work)
    return Role("console", plan.consoles, items, changes * 2, changes)


def all_roles(slopes: Slopes, size: Size, plan: RolePlan) -> tuple[Role, ...]:
    """Return every role at a size."""
    return tuple(
        build(slopes, size, plan) for build in (gateway, journal, controller, console)
    )


class DataPath(NamedTuple):
    """The work of serving itself, which isn't control; one gateway.

    ``cores`` of processor time at the peak, spread evenly over all gateways.
    """

    requests_s: float
    tokens_s: float
    cores: float
    decision_share: float


def data_path(slopes: Slopes, size: Size, plan: RolePlan) -> DataPath:
    """Return what the peak load takes of one gateway."""
    requests = size.requests_per_s / plan.gateways
    tokens = size.tokens_per_s / plan.gateways
    fixed = slopes.at("relay.cpu", 0)
    each = slopes.step("relay.cpu")
    decide = slopes.at("route.cpu", plan.subset)
    return DataPath(
        requests,
        tokens,
        (requests * fixed + tokens * each) / _US,
        requests * decide / _US,
    )
