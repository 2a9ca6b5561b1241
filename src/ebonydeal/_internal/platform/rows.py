"""Conversion of the platform's rows to the data types of the product."""

import json
from base64 import b64decode, b64encode
from ipaddress import IPv4Address
from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import (
    DEFAULT_CLIENT_LIMITS,
    ClientLimits,
    EngineCapabilities,
    ForwardAccount,
    ForwardService,
    Member,
    Repeat,
    Route,
    RouteTable,
    Scaling,
    Target,
)
from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.models.shared import SharedRow, ordered_version

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
MEMBERS_TABLE = "servers"
STATUS_TABLE = "status"
# Prefix of the keys of roll-outs, in the tables of orders and of status.
ROLLOUT_PREFIX = "rollout/"
_REPEATS = {
    "idempotent": Repeat.IDEMPOTENT,
    "non_idempotent": Repeat.ONCE,
    "streaming": Repeat.STREAM,
}
_LEAVING = {"ready": False, "draining": True}
_MAX_PORT = 65535
# Milliseconds since 1970 stay far below it, and a float holds it exactly.
_MAX_INTEGER = 2**53
_MS = 1000.0
_MAX_QUOTED_CHARS = 200


def decode_row(message: dict[str, Any], era: int = 0) -> SharedRow:
    """Return a row in wire format; raises KeyError, TypeError or ValueError.

    ``era`` is that of the store. A value that isn't base64 is empty, as no document is,
    so that other rows of the same reply are read.
    """
    removed = bool(message.get("tombstone"))
    return SharedRow(
        key=str(message["key"]),
        value=None if removed else _decode_value(message["value"]),
        version=ordered_version(era, int(message["ver"])),
    )


def _decode_value(value: Any) -> bytes:
    try:
        return b64decode(value)
    except (TypeError, ValueError):
        return b""


def encode_value(value: bytes) -> str:
    """Return a value in wire format."""
    return b64encode(value).decode("ascii")


def _route(message: dict[str, Any]) -> Route:
    split = message.get("traffic_split") or []
    targets = [Target(str(t["service"]), float(t["weight"])) for t in split]
    if not targets:
        targets = [Target(str(message["service"]), 1.0)]
    return Route(
        name=str(message.get("name", "")),
        host=str(message["host"]).lower(),
        prefix=str(message["prefix"]),
        repeat=_REPEATS[message["route_type"]],
        timeout=float(message["timeout_ms"]) / _MS,
        objective=float(message.get("target_latency_ms") or 0.0) / _MS,
        priority=int(message.get("priority") or 0),
        targets=tuple(targets),
        max_sends=max(1, int(message.get("max_attempts") or 1)),
        anonymous=bool(message.get("allow_anonymous")),
        # The platform's name for routes whose requests list the parts of a prompt.
        has_prompt=bool(message.get("sticky")),
        resumable=bool(message.get("can_resume")),
        max_event_gap=float(message.get("gap_aim_ms") or 0.0) / _MS,
    )


def _scaling(message: dict[str, Any] | None) -> Scaling | None:
    if not message:
        return None
    spot = message.get("spot_price")
    return Scaling(
        min_endpoints=int(message["min"]),
        max_endpoints=int(message["max"]),
        boot_s=float(message.get("boot_s") or 0.0),
        spot_price=None if spot is None else float(spot),
        zone_prices={str(z): float(p) for z, p in message["zone_prices"].items()}
        if message.get("zone_prices")
        else {},
    )


def _service(message: dict[str, Any]) -> ForwardService:
    engine = message.get("engine")
    shape = None
    if engine:
        shape = EngineCapabilities(
            slots=int(engine["max_slots"]),
            cache_tokens=int(engine.get("kv_capacity_tokens") or 0),
            token_bytes=int(engine.get("kv_token_bytes") or 0),
            can_migrate_runs=bool(engine.get("moves")),
            event_tokens=max(1, int(engine.get("stride") or 1)),
        )
    return ForwardService(
        name=str(message["name"]),
        health_path=str(message.get("health_path") or "/"),
        max_connections=int(message.get("max_connections") or 0),
        engine=shape,
        scaling=_scaling(message.get("autoscale")),
    )


def _limits(message: dict[str, Any]) -> ClientLimits:
    default = DEFAULT_CLIENT_LIMITS
    return ClientLimits(
        header_bytes=int(message.get("max_header_bytes") or default.header_bytes),
        body_bytes=int(message.get("max_body_bytes") or default.body_bytes),
        header_timeout=_limit_s(message, "header_timeout_ms", default.header_timeout),
        idle_timeout=_limit_s(message, "idle_timeout_ms", default.idle_timeout),
    )


def _limit_s(message: dict[str, Any], name: str, default_s: float) -> float:
    value = message.get(name)
    return float(value) / _MS if value else default_s


def _account(message: dict[str, Any]) -> ForwardAccount:
    priority = message.get("priority")
    return ForwardAccount(
        name=str(message["name"]),
        keys=tuple(str(key) for key in message.get("api_keys") or ()),
        priority=None if priority is None else int(priority),
        rate=float(message.get("rate_per_s") or 0.0),
        burst=float(message.get("burst") or 0.0),
        in_tokens=message.get("unit") == "tokens",
        plain_tokens=float(message.get("plain_tokens") or 1.0),
    )


def decode_table(value: bytes) -> RouteTable:
    """Return the configuration; raises BAD_DOCUMENT if it is invalid."""
    try:
        message = json.loads(value)
        services = [_service(item) for item in message.get("services") or ()]
        return RouteTable(
            version=int(message["version"]),
            routes=tuple(_route(item) for item in message.get("routes") or ()),
            services={service.name: service for service in services},
            limits=_limits(message.get("limits") or {}),
            accounts=tuple(_account(item) for item in message.get("tenants") or ()),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        RecursionError,
        OverflowError,
    ) as exc:
        detail = f"the configuration can't be parsed: {_quoted(exc)}"
        raise EbonydealError(ErrorKind.BAD_DOCUMENT, detail) from exc


def decode_member(row: SharedRow) -> Member:
    """Return a listed endpoint; raises BAD_DOCUMENT if its entry is invalid.

    Others may write to the table too: an entry with a field of the wrong type is
    refused, and such a field is never converted.
    """
    try:
        message = json.loads(row.value or b"")
        if not isinstance(message, dict):
            raise TypeError("not an object")
        return Member(
            endpoint_id=_printable(row.key, "key"),
            service=_text(message, "service"),
            address=_address(message),
            zone=_text(message, "zone"),
            slots=_integer(message, "max_slots", minimum=1),
            leaving=_LEAVING[_text(message, "state")],
            leaves_in=_seconds(message, "leaves_ms"),
            reclaimable=_flag(message, "spot"),
            warmup_left=_seconds(message, "cold_left_ms") or 0.0,
            revision=row.version,
            # The platform's name for the start of the endpoint, in ms since 1970.
            incarnation=(
                _integer(message, "born", minimum=0) if "born" in message else 0
            ),
            version=_version(message),
        )
    except (KeyError, TypeError, ValueError, RecursionError) as exc:
        detail = f"endpoint {row.key!a}, version {row.version}: {_quoted(exc)}"
        raise EbonydealError(ErrorKind.BAD_DOCUMENT, detail) from exc


def _version(message: dict[str, Any]) -> str:
    """Return the version of an endpoint's software; raises TypeError."""
    value = message.get("version", "")
    if type(value) is int:
        return str(value)
    if not isinstance(value, str):
        raise TypeError("version is not a string")
    return _printable(value, "version")


def _quoted(exc: Exception) -> str:
    """Return an error for a log line; it may quote a value of any size."""
    return repr(exc)[:_MAX_QUOTED_CHARS]


def rollout_service(key: str) -> str | None:
    """Return the service of a roll-out's row, None for other rows."""
    service = key.removeprefix(ROLLOUT_PREFIX)
    return service if service and service != key else None


def decode_order(row: SharedRow) -> RolloutOrder:
    """Return an operator's order of a roll-out; raises BAD_DOCUMENT."""
    try:
        message = json.loads(row.value or b"")
        if not isinstance(message, dict):
            raise TypeError("not an object")
        service = _text(message, "service")
        if service != rollout_service(row.key):
            raise ValueError("service differs from the row's key")
        duration = message["duration_s"]
        if type(duration) not in (int, float):
            raise TypeError("duration_s is not a number")
        if not 0 < duration <= _MAX_INTEGER:
            raise ValueError("duration_s is out of range")
        target = {"version": message["to"]}
        return RolloutOrder(
            service, _required_version(target), float(duration), row.version
        )
    except (KeyError, TypeError, ValueError, RecursionError) as exc:
        detail = f"roll-out order {row.key!a}, version {row.version}: {_quoted(exc)}"
        raise EbonydealError(ErrorKind.BAD_DOCUMENT, detail) from exc


def _required_version(message: dict[str, Any]) -> str:
    """Return a version that must not be empty; raises TypeError."""
    version = _version(message)
    if not version:
        raise TypeError("no version")
    return version


def encode_status(phase: Phase, to: str) -> bytes:
    """Return the status of a roll-out, which operators read."""
    return json.dumps({"state": str(phase), "to": to}).encode()


def decode_status(value: bytes) -> tuple[Phase, str]:
    """Return a roll-out's phase and version; raises BAD_DOCUMENT."""
    try:
        message = json.loads(value)
        return Phase(message["state"]), _version({"version": message["to"]})
    except (KeyError, TypeError, ValueError, RecursionError) as exc:
        detail = f"status of a roll-out: {_quoted(exc)}"
        raise EbonydealError(ErrorKind.BAD_DOCUMENT, detail) from exc


def _text(message: dict[str, Any], name: str) -> str:
    """Return a field's non-empty string; raises KeyError or TypeError."""
    value = message[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is not a string or is empty")
    return _printable(value, name)


def _printable(value: str, name: str) -> str:
    """Return a text that headers and logs can hold as it is; raises ValueError."""
    if not value.isprintable():
        raise ValueError(f"{name} has unprintable characters: {value[:40]!a}")
    return value


def _address(message: dict[str, Any]) -> str:
    """Return the address; raises KeyError, TypeError or ValueError."""
    address = _text(message, "address")
    host, _, port = address.rpartition(":")
    IPv4Address(host)
    if not (port.isascii() and port.isdecimal() and 0 < int(port) <= _MAX_PORT):
        raise ValueError("address has no valid port")
    return address


def _integer(message: dict[str, Any], name: str, minimum: int) -> int:
    """Return a field's integer; raises KeyError, TypeError or ValueError."""
    value = message[name]
    if type(value) is not int:
        raise TypeError(f"{name} is not an integer")
    if not minimum <= value <= _MAX_INTEGER:
        raise ValueError(f"{name} is out of range")
    return value


def _flag(message: dict[str, Any], name: str) -> bool:
    """Return an optional boolean field, False by default; raises TypeError."""
    value = message.get(name, False)
    if not isinstance(value, bool):
        raise TypeError(f"{name} is not a boolean")
    return value


def _seconds(message: dict[str, Any], name: str) -> float | None:
    """Return an optional field in ms as seconds; raises TypeError or ValueError."""
    value = message.get(name)
    if value is None:
        return None
    if type(value) not in (int, float):
        raise TypeError(f"{name} is not a number")
    # Checked before the conversion: an integer may be too large for a float.
    if not 0 <= value <= _MAX_INTEGER:
        raise ValueError(f"{name} is out of range")
    return float(value) / _MS
