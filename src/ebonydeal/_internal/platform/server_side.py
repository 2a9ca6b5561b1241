"""The platform's side of the wire format, for simulated platforms.

Parses what the other modules of this package send, and builds what they parse.
"""

import json
from base64 import b64decode
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from ebonydeal._internal.models.forwarding import Member, MigrationOrder, Repeat
from ebonydeal._internal.models.rollouts import RolloutOrder
from ebonydeal._internal.models.shared import ANY_VERSION, RowWrite, SharedRow
from ebonydeal._internal.platform.duties import FENCE_HEADER, HOLDER_HEADER
from ebonydeal._internal.platform.headers import (
    ACCOUNT,
    BACKOFF,
    BRITTLE,
    DEADLINE,
    EXPECT_ENDPOINT,
    KV_CACHE,
    LAST_EVENT,
    LEAVING,
    LIMIT,
    NOT_RUN,
    PROMPT,
    REQUEST_ID,
    RESUMES,
    SIGNATURE,
    TOKENS,
)
from ebonydeal._internal.platform.rows import ROLLOUT_PREFIX, encode_value

ROWS_PATH = "/-/rows-get"
STORE_ERA = "Store-Era"
FEED_PATH = "/-/rows-feed"
WRITE_PATH = "/-/rows-tx"
USAGE_PATH = "/usage"
ORDER_PATH = "/scale"
MOVE_PATH = "/-/kv-move"
HANDLE_PREFIX = "/-/kv-handle/"
REPORT_PATH = "/-/report"
_MS = 1000
# Prompt tokens of each request that states its tokens.
PROMPT_TOKENS = 10
_KINDS = {
    Repeat.IDEMPOTENT: "idempotent",
    Repeat.ONCE: "non_idempotent",
    Repeat.STREAM: "streaming",
}


class RouteSpec(NamedTuple):
    """A configured route of a simulated platform; times in seconds."""

    prefix: str
    repeat: Repeat
    resumable: bool = False
    timeout: float = 5.0
    objective: float = 1.0
    # Empty for the service of the configuration.
    service: str = ""


class AccountSpec(NamedTuple):
    """A client account; ``rate`` and ``burst`` are in requests or tokens.

    A request that doesn't state its tokens counts as ``plain_tokens``.
    """

    name: str
    key: str
    rate: float = 0.0
    burst: float = 0.0
    in_tokens: bool = False
    plain_tokens: int = 1


class ReceivedRequest(NamedTuple):
    """A request as an endpoint receives it."""

    request_id: str
    expected_endpoint: str
    account: str
    last_event: str
    kv_cache: str
    first_attempt: str


def config_document(
    version: int,
    host: str,
    service: str,
    routes: Iterable[RouteSpec],
    accounts: Iterable[AccountSpec],
    plain_services: Iterable[str] = (),
) -> bytes:
    """Return the value of a configuration's row.

    ``service`` runs on engines; ``plain_services`` are further ones that don't.
    """
    document = {
        "version": version,
        "routes": [
            {
                "name": route.prefix,
                "host": host,
                "prefix": route.prefix,
                "route_type": _KINDS[route.repeat],
                "timeout_ms": round(route.timeout * _MS),
                "target_latency_ms": round(route.objective * _MS),
                "priority": 0,
                "service": route.service or service,
                "max_attempts": 2,
                "can_resume": route.resumable,
                "gap_aim_ms": 400,
                "sticky": route.repeat is Repeat.STREAM,
            }
            for route in routes
        ],
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "engine": {"max_slots": 64, "moves": True, "stride": 1},
            },
            *({"name": name, "health_path": "/health"} for name in plain_services),
        ],
        "limits": {"max_body_bytes": 100_000, "idle_timeout_ms": 15_000},
        "tenants": [
            {
                "name": account.name,
                "api_keys": [account.key],
                "rate_per_s": account.rate,
                "burst": account.burst,
                "unit": "tokens" if account.in_tokens else "requests",
                "plain_tokens": account.plain_tokens,
            }
            for account in accounts
        ],
    }
    return json.dumps(document).encode()


def member_document(member: Member) -> bytes:
    """Return the value of an endpoint's row."""
    document = {
        "service": member.service,
        "address": member.address,
        "zone": member.zone,
        "max_slots": member.slots,
        "state": "draining" if member.leaving else "ready",
        "spot": member.reclaimable,
    }
    if member.version:
        document["version"] = member.version
    return json.dumps(document).encode()


def order_key(service: str) -> str:
    """Return the key of a roll-out order's row."""
    return f"{ROLLOUT_PREFIX}{service}"


def order_document(order: RolloutOrder) -> bytes:
    """Return the value of a roll-out order's row."""
    document = {
        "service": order.service,
        "to": order.target_version,
        "duration_s": order.duration,
    }
    return json.dumps(document).encode()


def client_headers(
    host: str,
    request_id: str,
    key: str,
    timeout: float,
    tokens: int,
    shared_parts: Sequence[str] = (),
) -> dict[str, str]:
    """Return a client's headers; ``timeout`` is in seconds.

    ``shared_parts`` are the ids of the parts of the prompt before its own.
    """
    headers = {
        "Host": host,
        REQUEST_ID: request_id,
        DEADLINE: str(round(timeout * _MS)),
        "Authorization": f"Bearer {key}",
    }
    if tokens:
        headers[TOKENS] = f"{PROMPT_TOKENS},{tokens}"
    if shared_parts:
        ids = (*shared_parts, request_id)
        headers[PROMPT] = ",".join(f"{part}:{PROMPT_TOKENS}" for part in ids)
    return headers


def resume_headers(first_attempt: str, events: int) -> dict[str, str]:
    """Return what a client adds that resumes a stream after some events."""
    return {LAST_EVENT: str(events), RESUMES: first_attempt}


def read_received_request(headers: Mapping[str, str]) -> ReceivedRequest:
    """Return what the headers tell an endpoint of a request."""
    return ReceivedRequest(
        headers.get(REQUEST_ID, ""),
        headers.get(EXPECT_ENDPOINT, ""),
        headers.get(ACCOUNT, ""),
        headers.get(LAST_EVENT, ""),
        headers.get(KV_CACHE, ""),
        headers.get(RESUMES, ""),
    )


def answer_headers(request_id: str) -> dict[str, str]:
    """Return the headers of an endpoint's own answer."""
    return {REQUEST_ID: request_id, SIGNATURE: "rehearsal"}


def not_run_headers(request_id: str) -> dict[str, str]:
    """Return the headers of an answer that proves that the request didn't run."""
    return {REQUEST_ID: request_id, NOT_RUN: "1"}


def notice_headers(
    limit: float | None,
    leaving: bool,
    backoff_s: float,
    max_rejections: float | None = None,
) -> dict[str, str]:
    """Return the headers of a notice, whose values are as in `EndpointNotice`."""
    headers = {}
    if max_rejections is not None:
        headers[BRITTLE] = f"{max_rejections:g}"
    if limit is not None:
        headers[LIMIT] = f"{limit:g}"
    if leaving:
        headers[LEAVING] = "1"
    if backoff_s > 0.0:
        headers[BACKOFF] = f"{backoff_s:g}"
    return headers


def report_body(leaves_in: float | None) -> dict[str, Any]:
    """Return the body of an endpoint's report."""
    return {} if leaves_in is None else {"leaves_ms": round(leaves_in * _MS)}


def read_migration_order(message: Mapping[str, Any]) -> MigrationOrder:
    """Return an order to migrate a run, or to copy its KV cache."""
    return MigrationOrder(message["id"], message["to"], bool(message.get("last")))


def migration_body(handle: str) -> dict[str, Any]:
    """Return the body of the reply to an order to migrate a run."""
    return {"handle": handle, "create_revision": 0}


def encode_row(row: SharedRow) -> dict[str, Any]:
    """Return a row as the store sends it."""
    if row.value is None:
        return {"key": row.key, "ver": row.version, "tombstone": True}
    return {"key": row.key, "ver": row.version, "value": encode_value(row.value)}


def rows_body(rows: Iterable[SharedRow], version: int, now: float) -> dict[str, Any]:
    """Return the body of a reply with rows; ``now`` is the store's time, seconds."""
    return {
        "rows": [encode_row(row) for row in rows],
        "ver": version,
        "now_ms": round(now * _MS),
    }


def read_poll(query: Mapping[str, str]) -> tuple[str, int, float]:
    """Return table, version and wait (seconds) of a long poll."""
    return query["table"], int(query["after"]), int(query["wait_ms"]) / _MS


def read_write(message: Mapping[str, Any]) -> list[RowWrite]:
    """Return the writes of a transaction."""
    expected = {
        (place["table"], place["key"]): int(place["ver"])
        for place in message["precondition"]
    }
    return [
        RowWrite(
            place["table"],
            place["key"],
            _value(place),
            expected.get((place["table"], place["key"]), ANY_VERSION),
        )
        for place in (*message["puts"], *message["remove"])
    ]


def _value(place: Mapping[str, Any]) -> bytes | None:
    return b64decode(place["value"]) if "value" in place else None


def read_usage(
    message: Mapping[str, Any], headers: Mapping[str, str]
) -> tuple[int, dict[str, int], str, int]:
    """Return window, counts, lease holder and fencing token of a usage report."""
    counts = {str(k): int(v) for k, v in message["request_counts"].items()}
    return (
        int(message["window_id"]),
        counts,
        headers[HOLDER_HEADER],
        int(headers[FENCE_HEADER]),
    )
