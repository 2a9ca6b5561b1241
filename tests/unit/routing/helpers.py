"""Short builders for arguments of routing functions."""

from ebonydeal._internal.models.document import Account
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
    LoadReport,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.routing.placement.types import RouteRequest

NOW = 1_000.0
HERE = Place("palermo", "palermo-1")


def make_view(name: str, **changes) -> EndpointView:
    fields = {
        "endpoint_id": name,
        "incarnation": 1,
        "kind": EndpointKind.ENGINE,
        "address": "127.0.0.1:1",
        "place": HERE,
        "deployment": "pool",
        "models": ("m",),
        "state": EndpointState.READY,
        "reclaimable": True,
        "evict_per_hour": 0.0,
        "price_per_hour": 1.0,
        "load": None,
    }
    return EndpointView(**(fields | changes))


def make_load(running: int = 0, waiting: int = 0, at: float = NOW) -> LoadReport:
    return LoadReport(running, waiting, 8, 0.0, 50.0, at)


def make_request(
    name: str = "r", blocks: tuple[str, ...] = (), **changes
) -> RouteRequest:
    fields = {
        "request_id": name,
        "deployment": "pool",
        "model": "m",
        "blocks": blocks,
        "prompt_tokens": max(100, 16 * len(blocks)),
        "max_tokens": 50,
        "place": HERE,
    }
    return RouteRequest(**(fields | changes))


def make_account(name: str = "desk", **limits) -> Account:
    return Account(
        name=name,
        key_hashes=(),
        requests_per_s=limits.get("requests_per_s", 0.0),
        tokens_per_s=limits.get("tokens_per_s", 0.0),
        concurrency=limits.get("concurrency", 0),
        priority=Priority.INTERACTIVE,
    )
