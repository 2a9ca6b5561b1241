"""Settings that all programs share."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class NodeSettings(NamedTuple):
    """``[node]``: identity and place of this process."""

    id: Annotated[str, Key("Node id, unique among processes of the system.")] = "node-1"
    host: Annotated[str, Key("IP address to listen on and be reached at.")] = (
        "127.0.0.1"
    )
    region: Annotated[str, Key("Region of this instance.")] = "local"
    zone: Annotated[str, Key("Availability zone of this instance.")] = "local-1"
    drain_seconds: Annotated[
        float, Key("Timeout of a graceful shutdown.", "seconds", 0, 3600)
    ] = 120.0
    memory_mb: Annotated[
        float,
        Key(
            "Memory of this process; client connections may hold a quarter of it. "
            "0: the machine's.",
            "MB",
            0,
            1e9,
        ),
    ] = 0.0
    max_descriptors: Annotated[
        int,
        Key(
            "Descriptors of this process; client connections may use three quarters "
            "of them, less 200 for files. 0: the limit set by the system.",
            "",
            0,
            1 << 30,
        ),
    ] = 0


class PlatformSettings(NamedTuple):
    """``[platform]``: addresses of the external systems."""

    tables_url: Annotated[str, Key("Table service.")] = "http://127.0.0.1:9101"
    objects_url: Annotated[str, Key("Object store.")] = "http://127.0.0.1:9102"
    cloud_url: Annotated[str, Key("Cloud API.")] = "http://127.0.0.1:9103"
    instances_url: Annotated[str, Key("Instance list.")] = "http://127.0.0.1:9104"
    weights_url: Annotated[str, Key("Weight store.")] = "http://127.0.0.1:9105"
    timeout: Annotated[
        float, Key("Timeout of one platform call.", "seconds", 0.05, 60)
    ] = 2.0
    table_writes_per_s: Annotated[
        float, Key("Table writes allowed to all nodes together.", "writes/s", 1, 100000)
    ] = 300.0


class PeerSettings(NamedTuple):
    """``[peers]``: communication between processes of the system."""

    port: Annotated[int, Key("Port for peers; 0 picks a free one.", "", 0, 65535)] = (
        9200
    )
    seeds: Annotated[str, Key("host:port of peers to join, comma-separated.")] = ""
    credential: Annotated[
        str, Key("Credential shared by all processes.", secret=True)
    ] = "change-me"
    period: Annotated[
        float, Key("Interval between gossip rounds.", "seconds", 0.05, 60)
    ] = 1.0


class LogSettings(NamedTuple):
    """``[logs]``: lines written to standard output."""

    format: Annotated[str, Key("Format of a log line.", choices=("human", "json"))] = (
        "human"
    )
    level: Annotated[
        str, Key("Lowest level written.", choices=("debug", "info", "warning", "error"))
    ] = "info"


class TlsSettings(NamedTuple):
    """``[tls]``: TLS on every listener and between processes."""

    enabled: Annotated[bool, Key("Use TLS for serving and calls.")] = False
    certificate: Annotated[str, Key("PEM file with this node's certificate chain.")] = (
        ""
    )
    private_key: Annotated[str, Key("PEM file with this node's private key.")] = ""
    authority: Annotated[str, Key("PEM file of the peers' certificate authority.")] = ""
    reload_seconds: Annotated[
        float, Key("Interval of checks for renewed files.", "seconds", 1, 86400)
    ] = 60.0
