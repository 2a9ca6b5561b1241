"""Settings of the relay."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key

_MOST_MS = 3_600_000


class RelaySettings(NamedTuple):
    """``[relay]``: forwarded routes and the bounds that a deployment sets."""

    address: Annotated[
        str, Key("host:port of the clients' listener; port 0 picks one.")
    ] = "127.0.0.1:9500"
    ready_address: Annotated[
        str, Key("host:port that tells the balancer of readiness.")
    ] = "127.0.0.1:9501"
    peer_address: Annotated[
        str, Key("host:port for the other relays, and for metrics.")
    ] = "127.0.0.1:9502"
    cpu_share: Annotated[
        float, Key("What the instance has of each core.", "", 0.001, 1)
    ] = 1.0
    cpu_cores: Annotated[
        float, Key("Cores, or how many times as fast one is.", "", 0.01, 10_000)
    ] = 1.0
    link_mbps: Annotated[
        float, Key("Rate of the instance's link.", "Mbit/s", 0.001, 1e9)
    ] = 1000.0
    connect_ms: Annotated[
        float, Key("Longest wait for a connection.", "milliseconds", 1, _MOST_MS)
    ] = 300.0
    grace_s: Annotated[
        float, Key("Time from SIGTERM to SIGKILL.", "seconds", 0.1, 3600)
    ] = 8.0
    settle_s: Annotated[
        float, Key("Time the balancer needs to take us out.", "seconds", 0, 600)
    ] = 3.0
    drain_ms: Annotated[
        float,
        Key(
            "Time from an endpoint's word that it leaves until it gets no new work.",
            "milliseconds",
            0,
            _MOST_MS,
        ),
    ] = 2000.0
    retry_ratio: Annotated[
        float, Key("Further sends for each request, all relays.", "", 0, 10)
    ] = 0.2
    retry_extra: Annotated[
        float, Key("Further sends in a window besides.", "", 0, 1e6)
    ] = 58.0
    quota_window_s: Annotated[
        float, Key("Window of client accounts' limits.", "seconds", 0.1, 3600)
    ] = 8.0
    quota_overshoot: Annotated[
        float, Key("Share by which a limit may be exceeded.", "", 0, 10)
    ] = 0.1
    quota_slack: Annotated[
        float, Key("Amount by which a limit may be exceeded.", "", 0, 1e12)
    ] = 110_000.0
    lease_ms: Annotated[
        float, Key("Least time between holders of a duty.", "milliseconds", 1, _MOST_MS)
    ] = 3000.0
    checks_fence: Annotated[
        bool, Key("The platform refuses a duty's call with an old fencing number.")
    ] = True
    usage_window_s: Annotated[
        float, Key("Length of a usage window.", "seconds", 0.1, 86400)
    ] = 5.0
    usage_late_s: Annotated[
        float, Key("Time after its end until usage is due.", "seconds", 0.1, 86400)
    ] = 10.0
    expose_share: Annotated[
        float,
        Key("Share of a service's requests that a bad version may get.", "", 0, 1),
    ] = 0.1
    expose_slack: Annotated[
        float, Key("Requests that a bad version may get besides.", "", 0, 1e9)
    ] = 50.0
    reuse_window_s: Annotated[
        float, Key("Time for which a read prompt part is kept.", "seconds", 0, 86400)
    ] = 8.0
