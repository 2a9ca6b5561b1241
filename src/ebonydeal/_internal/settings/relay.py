"""Settings of the relay."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key

_MAX_MS = 3_600_000


class RelaySettings(NamedTuple):
    """``[relay]``: forwarded routes and the limits of a deployment."""

    address: Annotated[str, Key("host:port for clients; port 0 picks a free one.")] = (
        "127.0.0.1:9500"
    )
    ready_address: Annotated[
        str, Key("host:port of readiness checks by the load balancer.")
    ] = "127.0.0.1:9501"
    peer_address: Annotated[str, Key("host:port for other relays and for metrics.")] = (
        "127.0.0.1:9502"
    )
    cpu_share: Annotated[
        float, Key("Fraction of each core that the instance may use.", "", 0.001, 1)
    ] = 1.0
    cpu_cores: Annotated[
        float, Key("Cores, or the relative speed of a single core.", "", 0.01, 10_000)
    ] = 1.0
    link_mbps: Annotated[
        float, Key("Bandwidth of the instance's link.", "Mbit/s", 0.001, 1e9)
    ] = 1000.0
    connect_ms: Annotated[
        float, Key("Timeout of a connection attempt.", "milliseconds", 1, _MAX_MS)
    ] = 300.0
    grace_s: Annotated[
        float, Key("Time from SIGTERM to SIGKILL.", "seconds", 0.1, 3600)
    ] = 8.0
    settle_s: Annotated[
        float, Key("Time the load balancer needs to remove a relay.", "seconds", 0, 600)
    ] = 3.0
    drain_ms: Annotated[
        float,
        Key(
            "Time from an endpoint's leaving notice until it gets no new requests.",
            "milliseconds",
            0,
            _MAX_MS,
        ),
    ] = 2000.0
    retry_ratio: Annotated[
        float, Key("Resends per request, over all relays.", "", 0, 10)
    ] = 0.2
    retry_extra: Annotated[float, Key("Additional resends per window.", "", 0, 1e6)] = (
        58.0
    )
    quota_window_s: Annotated[
        float, Key("Window of client accounts' limits.", "seconds", 0.1, 3600)
    ] = 8.0
    quota_overshoot: Annotated[
        float, Key("Share by which a limit may be exceeded.", "", 0, 10)
    ] = 0.1
    quota_slack: Annotated[
        float, Key("Additional amount by which it may be exceeded.", "", 0, 1e12)
    ] = 110_000.0
    lease_ms: Annotated[
        float,
        Key("Minimum time between two holders of a duty.", "milliseconds", 1, _MAX_MS),
    ] = 3000.0
    checks_fence: Annotated[
        bool, Key("The platform refuses calls with an old fencing token.")
    ] = True
    usage_window_s: Annotated[
        float, Key("Length of a usage window.", "seconds", 0.1, 86400)
    ] = 5.0
    usage_late_s: Annotated[
        float, Key("Time from its end until its usage is due.", "seconds", 0.1, 86400)
    ] = 10.0
    max_answer_mb: Annotated[
        float,
        Key(
            "Largest answer of a plain service, or event of a stream. More bytes are "
            "taken for an answer without end, and the request fails or is sent again.",
            "MB",
            0.1,
            10_000,
        ),
    ] = 8.0
    unread_s: Annotated[
        float,
        Key("Timeout of a client that takes no byte of an answer.", "seconds", 1, 3600),
    ] = 120.0
    max_answers_mb: Annotated[
        float,
        Key(
            "Memory for all answers that are being read; small ones may exceed it.",
            "MB",
            0.1,
            100_000,
        ),
    ] = 64.0
    expose_share: Annotated[
        float,
        Key("Share of a service's requests that a bad version may get.", "", 0, 1),
    ] = 0.1
    expose_slack: Annotated[
        float, Key("Additional requests that a bad version may get.", "", 0, 1e9)
    ] = 50.0
    reuse_window_s: Annotated[
        float,
        Key("Time for which a prefilled prompt part is kept.", "seconds", 0, 86400),
    ] = 8.0
