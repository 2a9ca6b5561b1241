"""Computes what one process of each role needs at a size, from measured slopes."""

from collections.abc import Mapping
from typing import NamedTuple

from ebonydeal._internal.benchmarks.capacity.fit import Slope
from ebonydeal._internal.benchmarks.capacity.plan import RolePlan
from ebonydeal._internal.benchmarks.capacity.size import Size

_US_PER_S = 1_000_000.0
_BYTES_PER_MB = 1_000_000.0
# Sizes that don't come from a slope: one HTTP call with a small message and headers,
# one instance list entry on the wire, one prefix block in memory.
CALL_BYTES = 500.0
LIST_ENTRY_BYTES = 180.0
PREFIX_BLOCK_BYTES = 150.0
PREFIX_BLOCKS = 200_000.0
LIVE_REQUEST_S = 60.0


class Item(NamedTuple):
    """One component of what a process needs.

    Attributes
    ----------
    what : str
        The work or state.
    mechanism : str
        What keeps its cost low.
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
    """Control overhead and table operations a second of one process of a role."""

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
        """Share of one core used for control."""
        return sum(item.cpu_us for item in self.items) / _US_PER_S

    @property
    def memory_mb(self) -> float:
        """Memory of one process in MB."""
        return sum(item.memory_mb for item in self.items)


class Slopes:
    """Measured slopes by key."""

    def __init__(self, slopes: Mapping[str, Slope]) -> None:
        self._slopes = slopes

    def at(self, key: str, size: float) -> float:
        """Return a slope's value at a size."""
        return self._slopes[key].at(size)

    def step(self, key: str) -> float:
        """Return the slope's increase per unit of size."""
        return self._slopes[key].slope


def _peers(slopes: Slopes, size: Size, plan: RolePlan, *, demand: bool) -> Item:
    rounds_s = 1.0 / plan.peer_period
    key = "peers.bytes" if demand else "peers.bare"
    return Item(
        "peer rounds: membership, marks" + (", demand" if demand else ""),
        "digests by hash, bounded reports",
        rounds_s * slopes.at(key, size.nodes),
        rounds_s
        * (slopes.at("peers.cpu", size.nodes) + slopes.at("members.tick", size.nodes)),
        slopes.at("members.memory", size.nodes) / _BYTES_PER_MB,
    )


def _instance_list(slopes: Slopes, size: Size, plan: RolePlan) -> Item:
    readers = plan.gateways + plan.journals
    reads_s = 1.0 / (plan.list_period * readers)
    entries_s = size.endpoint_changes_per_s
    return Item(
        "instance list",
        "one reading in turn, differences in the rounds",
        reads_s * slopes.at("list.bytes", size.replicas) + entries_s * LIST_ENTRY_BYTES,
        reads_s * slopes.at("list.cpu", size.replicas),
        2 * slopes.at("list.memory", size.replicas) / _BYTES_PER_MB,
    )


def _config(slopes: Slopes, size: Size, plan: RolePlan) -> Item:
    calls_s = 2.0 / plan.config_poll_s
    return Item(
        "configuration",
        "deltas by item, a poll of the head, several versions a reading",
        2 * size.changes_per_s * slopes.at("change.bytes", 1) + calls_s * CALL_BYTES,
        calls_s * slopes.step("call.cpu"),
        5.0,
    )


def _endpoint_polls(slopes: Slopes, plan: RolePlan) -> Item:
    polls_s = plan.subset / plan.load_period + plan.subset / plan.events_period
    return Item(
        "load and cache events of idle endpoints",
        "subset of endpoints; loads ride on answers",
        polls_s * CALL_BYTES,
        polls_s * slopes.step("call.cpu"),
        PREFIX_BLOCKS * PREFIX_BLOCK_BYTES / _BYTES_PER_MB,
    )


def _interpreter(slopes: Slopes) -> Item:
    return Item("interpreter and libraries", "", 0.0, 0.0, slopes.at("rss", 0))


def gateway(slopes: Slopes, size: Size, plan: RolePlan) -> Role:
    """Return what one gateway needs."""
    items = (
        _interpreter(slopes),
        _peers(slopes, size, plan, demand=True),
        _instance_list(slopes, size, plan),
        _config(slopes, size, plan),
        _endpoint_polls(slopes, plan),
    )
    reads = 2.0 / plan.config_poll_s
    return Role("gateway", plan.gateways, items, reads, 0.0)


def journal(slopes: Slopes, size: Size, plan: RolePlan) -> Role:
    """Return what one journal needs besides the records themselves."""
    reads = slopes.step("journal.reads")
    writes = slopes.step("journal.writes")
    leases = Item(
        "node lease and shard claims",
        "one lease a process, rendezvous hashing",
        (reads + writes) * CALL_BYTES,
        (reads + writes) * slopes.step("call.cpu"),
        0.0,
    )
    live = size.durable_per_s * LIVE_REQUEST_S / plan.journals
    request_state = Item(
        f"requests that are not final ({LIVE_REQUEST_S:.0f} s of them)",
        "folded state, bodies dropped at the end",
        0.0,
        0.0,
        slopes.at("journal.memory", live) / _BYTES_PER_MB,
    )
    items = (
        _interpreter(slopes),
        _peers(slopes, size, plan, demand=False),
        _instance_list(slopes, size, plan),
        _config(slopes, size, plan),
        leases,
        request_state,
    )
    polls = 2.0 / plan.config_poll_s
    return Role("journal", plan.journals, items, reads + polls, writes)


def controller(slopes: Slopes, size: Size, plan: RolePlan) -> Role:
    """Return what one controller needs; controllers share the deployments."""
    replicas = size.replicas / plan.controllers
    churn = size.endpoint_changes_per_s / plan.controllers
    rounds = Item(
        "rounds of its deployments",
        "one lease a deployment, each replica asked once a period",
        replicas / plan.load_poll_period * CALL_BYTES,
        slopes.step("round.cpu") * replicas / plan.round_period
        + replicas / plan.load_poll_period * slopes.step("call.cpu"),
        slopes.at("plan.memory", replicas) / _BYTES_PER_MB,
    )
    changes = Item(
        "starts, orders, releases",
        "one row a change of state",
        churn * 6 * CALL_BYTES,
        churn * 6 * slopes.step("call.cpu"),
        0.0,
    )
    items = (
        _interpreter(slopes),
        _peers(slopes, size, plan, demand=False),
        _config(slopes, size, plan),
        rounds,
        changes,
    )
    table_reads = slopes.at("round.tables", 0) / plan.round_period
    polls = 2.0 / plan.config_poll_s
    return Role("controller", plan.controllers, items, table_reads + polls, churn * 4)


def console(slopes: Slopes, size: Size, plan: RolePlan) -> Role:
    """Return what one console needs."""
    changes = size.changes_per_s / plan.consoles
    document_work = Item(
        "accepting documents",
        "one transaction a change, only changed items",
        changes * 4 * slopes.at("change.bytes", 1),
        changes * 20_000.0,
        20.0,
    )
    items = (_interpreter(slopes), _config(slopes, size, plan), document_work)
    polls = 2.0 / plan.config_poll_s
    return Role("console", plan.consoles, items, changes * 2 + polls, changes)


def all_roles(slopes: Slopes, size: Size, plan: RolePlan) -> tuple[Role, ...]:
    """Return all roles at a size."""
    return tuple(
        role_of(slopes, size, plan)
        for role_of in (gateway, journal, controller, console)
    )


class DataPath(NamedTuple):
    """Work of one gateway to serve requests, without control.

    ``cores`` is its processor time at the peak, which all gateways share evenly;
    ``decision_share`` is the part of a core for routing decisions.
    """

    requests_s: float
    tokens_s: float
    cores: float
    decision_share: float


def data_path(slopes: Slopes, size: Size, plan: RolePlan) -> DataPath:
    """Return what one gateway needs to serve its share of the peak load."""
    requests = size.requests_per_s / plan.gateways
    tokens = size.tokens_per_s / plan.gateways
    per_request_us = slopes.at("relay.cpu", 0)
    per_token_us = slopes.step("relay.cpu")
    decision_us = slopes.at("route.cpu", plan.subset)
    return DataPath(
        requests,
        tokens,
        (requests * per_request_us + tokens * per_token_us) / _US_PER_S,
        requests * decision_us / _US_PER_S,
    )
