"""Slopes measured in this process, each over its own range of sizes.

`roles` refers to their keys. The measured work is the product's own code on sample
values; nothing is simulated.
"""

import copy
import json
import random
from collections.abc import Callable
from resource import RUSAGE_SELF, getrusage
from typing import Any

from ebonydeal._internal.benchmarks.capacity.fit import Point, Slope, fit
from ebonydeal._internal.benchmarks.capacity.samples import (
    cloud_instance,
    endpoint_message,
    endpoint_view,
    instance_row,
    member,
    place,
    request,
)
from ebonydeal._internal.benchmarks.capacity.timing import cpu_us, memory_bytes
from ebonydeal._internal.config.delta import compute_delta, split
from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.rows import VersionInfo
from ebonydeal._internal.controller.reconcile import (
    DesiredState,
    ObservedState,
    ReconcileConfig,
    plan,
)
from ebonydeal._internal.controller.values import OfferKey
from ebonydeal._internal.directory.table import EndpointTable
from ebonydeal._internal.journal.fold import RequestState, apply_all
from ebonydeal._internal.journal.snapshots import encode_states
from ebonydeal._internal.models.records import Accepted, record_to_message
from ebonydeal._internal.outside.instances import endpoint_from_message
from ebonydeal._internal.peers.membership import Membership
from ebonydeal._internal.peers.topics import MembersTopic
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.routing.placement.types import RouteRequest
from ebonydeal._internal.settings.routing import RoutingSettings
from ebonydeal._internal.utils.clock import SystemClock
from ebonydeal._internal.utils.prefix import prefix_blocks

_NOW = 1_800_000_000.0
_LIST_SIZES = (250, 1000, 2000, 4000)
_MEMBER_SIZES = (9, 50, 150, 350)
_VIEW_SIZES = (8, 16, 64, 128)
_RECORD_SIZES = (100, 400, 1000)
_REPLICA_SIZES = (10, 100, 500, 1000)
_PROMPT_WORDS = 1000


def measure_in_process() -> list[Slope]:
    """Return the slopes that need no second process; takes about a minute."""
    return [
        *_instance_list(),
        *_membership(),
        *_routing(),
        *_journal(),
        *_controller(),
        _config_change(),
        _resident(),
    ]


def _line(
    key: str,
    what: str,
    per: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Slope:
    """Measure at each size and fit a line."""
    points = [Point(size, measure(size)) for size in sizes]
    return fit(key, what, per, points)


def _change_bytes(deployments: int) -> float:
    """Return the bytes of a version that changes ``deployments`` deployments."""
    old = example_document("palermo")
    base = old["deployments"][0]
    old["deployments"] = [{**base, "name": f"d-{n}"} for n in range(deployments)]
    new = copy.deepcopy(old)
    for item in new["deployments"]:
        item["price_ceiling_per_hour"] += 1.0
    delta = compute_delta(split(old), split(new))
    info = VersionInfo(12_345, "operator", _NOW, "raise the ceiling", "p" * 18, delta)
    return float(len(json.dumps(info.to_row())))


def _config_change() -> Slope:
    return _line(
        "change.bytes",
        "bytes of one configuration version",
        "deployment changed",
        (1, 2, 5),
        _change_bytes,
    )


def _resident() -> Slope:
    """Return the resident memory of this process as a constant slope."""
    usage = getrusage(RUSAGE_SELF).ru_maxrss / 1000.0
    points = [Point(size, usage) for size in (0, 1, 2)]
    return fit("rss", "MB resident of this process, the upper bound", "-", points)


# --- instance list ---------------------------------------------------------------
def _list_body(size: int) -> str:
    return json.dumps({"endpoints": [endpoint_message(n) for n in range(size)]})


def _read_list(body: str) -> list[Any]:
    return [endpoint_from_message(item) for item in json.loads(body)["endpoints"]]


def _table_of(size: int) -> EndpointTable:
    table = EndpointTable()
    table.apply_list([endpoint_view(n) for n in range(size)], _NOW)
    return table


def _instance_list() -> list[Slope]:
    bodies = {size: _list_body(size) for size in _LIST_SIZES}
    return [
        _line(
            "list.bytes",
            "bytes of one whole instance list",
            "endpoint",
            _LIST_SIZES,
            lambda size: float(len(bodies[size])),
        ),
        _line(
            "list.cpu",
            "us of processor time to read one whole list",
            "endpoint",
            _LIST_SIZES,
            lambda size: cpu_us(lambda: _read_list(bodies[size]), 3),
        ),
        _line(
            "list.memory",
            "bytes of memory of the endpoint table",
            "endpoint",
            _LIST_SIZES,
            lambda size: memory_bytes(lambda: _table_of(size)),
        ),
    ]


# --- membership --------------------------------------------------------------------
def _membership_of(size: int) -> Membership:
    membership = Membership(member(0))
    for number in range(1, size):
        membership.merge(member(number), _NOW)
    for _ in range(100 * size):
        if not membership.updates():
            break
    return membership


def _membership() -> list[Slope]:
    memberships = {size: _membership_of(size) for size in _MEMBER_SIZES}

    def round_us(size: int) -> float:
        topic = MembersTopic(memberships[size], SystemClock())
        peer_digest = json.loads(json.dumps(topic.digest()))
        return cpu_us(lambda: (topic.digest(), topic.payload_for(peer_digest)), 200)

    return [
        _line(
            "members.memory",
            "bytes of memory of the membership",
            "member",
            _MEMBER_SIZES,
            lambda size: memory_bytes(lambda: _membership_of(size)),
        ),
        _line(
            "members.cpu",
            "us of processor time of one quiet round's digest and answer",
            "member",
            _MEMBER_SIZES,
            round_us,
        ),
        _line(
            "members.tick",
            "us of processor time of one look for members to remove",
            "member",
            _MEMBER_SIZES,
            lambda size: cpu_us(lambda: memberships[size].tick(_NOW + 1.0), 200),
        ),
        _line(
            "members.bytes",
            "bytes of one quiet digest",
            "member",
            _MEMBER_SIZES,
            lambda size: float(
                len(json.dumps(MembersTopic(memberships[size], SystemClock()).digest()))
            ),
        ),
    ]


# --- routing -----------------------------------------------------------------------
def _route_request() -> RouteRequest:
    prompt = " ".join(f"w{n}" for n in range(_PROMPT_WORDS))
    return RouteRequest(
        request_id="r-0000-0000000000000000",
        deployment="covers",
        model="covers-7b",
        blocks=prefix_blocks("covers-7b", prompt),
        prompt_tokens=_PROMPT_WORDS,
        max_tokens=200,
        place=place(0),
    )


def _decision_us(size: int) -> float:
    router = Router.from_config(RoutingSettings(), random.Random(1))
    views = tuple(endpoint_view(n) for n in range(size))
    route_request = _route_request()
    return cpu_us(lambda: router.choose(route_request, views, _NOW), 30)


def _routing() -> list[Slope]:
    return [
        _line(
            "route.cpu",
            "us of processor time of one routing decision",
            "endpoint looked at",
            _VIEW_SIZES,
            _decision_us,
        )
    ]


# --- journal -----------------------------------------------------------------------
def _states(size: int) -> dict[str, RequestState]:
    states: dict[str, RequestState] = {}
    apply_all(states, [Accepted(request(number)) for number in range(size)])
    return states


def _journal() -> list[Slope]:
    records = {
        size: [Accepted(request(number)) for number in range(size)]
        for size in _RECORD_SIZES
    }

    def row(size: int) -> str:
        return json.dumps([record_to_message(record) for record in records[size]])

    def encode_and_fold(size: int) -> None:
        row(size)
        apply_all({}, records[size])

    return [
        _line(
            "journal.memory",
            "bytes of memory of requests that are not final",
            "request",
            _RECORD_SIZES,
            lambda size: memory_bytes(lambda: _states(size)),
        ),
        _line(
            "journal.cpu",
            "us of processor time to encode and fold one row",
            "record",
            _RECORD_SIZES,
            lambda size: cpu_us(lambda: encode_and_fold(size), 3),
        ),
        _line(
            "journal.bytes",
            "bytes of one row",
            "record",
            _RECORD_SIZES,
            lambda size: float(len(row(size))),
        ),
        _line(
            "journal.snapshot",
            "us of processor time to encode one snapshot",
            "request",
            _RECORD_SIZES,
            lambda size: cpu_us(lambda: encode_states(_states(size).values()), 3),
        ),
    ]


# --- controller --------------------------------------------------------------------
def _observed(size: int) -> ObservedState:
    rows = {row.token: row for row in map(instance_row, range(size))}
    instances = {item.token: item for item in map(cloud_instance, range(size))}
    prices = {OfferKey.of(row): row.price_per_hour for row in rows.values()}
    return ObservedState(instances, rows, set(rows), set(), {}, prices)


def _desired(observed: ObservedState) -> DesiredState:
    counts: dict[OfferKey, int] = {}
    for row in observed.rows.values():
        counts[OfferKey.of(row)] = counts.get(OfferKey.of(row), 0) + 1
    return DesiredState(counts, len(observed.rows), 1e9)


def _plan_us(size: int) -> float:
    observed = _observed(size)
    desired = _desired(observed)
    config = ReconcileConfig()
    return cpu_us(lambda: plan(desired, observed, config, _NOW), 5)


def _controller() -> list[Slope]:
    return [
        _line(
            "plan.cpu",
            "us of processor time of one plan with nothing to do",
            "replica",
            _REPLICA_SIZES,
            _plan_us,
        ),
        _line(
            "plan.memory",
            "bytes of memory of rows and instances",
            "replica",
            _REPLICA_SIZES,
            lambda size: memory_bytes(lambda: _observed(size)),
        ),
    ]
