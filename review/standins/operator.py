"""The operator's configuration, as PROTOCOL.md describes it."""

from typing import Any

HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
SERVICE = "app"


def route(prefix: str, kind: str, **extra: Any) -> dict[str, Any]:
    """Return a route of the plain service."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "route_type": kind,
        "timeout_ms": 2500,
        "target_latency_ms": 300,
        "priority": 2,
        "service": SERVICE,
        "max_attempts": 1,
        **extra,
    }


def configuration(*routes: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with these routes, one plain service and one tenant."""
    return {
        "version": 1,
        "routes": list(routes),
        "services": [
            {"name": SERVICE, "health_path": "/healthz", "max_connections": 110}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 60000,
        },
        "tenants": [
            {
                "name": TENANT,
                "api_keys": [KEY],
                "rate_per_s": 0,
                "burst": 0,
                "unit": "tokens",
                "plain_tokens": 200,
            }
        ],
    }
