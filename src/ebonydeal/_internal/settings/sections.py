"""Sections that every program shares."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class NodeSettings(NamedTuple):
    """``[node]``: who and where this process is."""

    id: Annotated[str, Key("Node id, unique among own processes.")] = "node-1"
    host: Annotated[str, Key("IP number to listen on and be reached at.")] = "127.0.0.1"
    region: Annotated[str, Key("Region of this instance.")] = "local"
    zone: Annotated[str, Key("Availability zone of this instance.")] = "local-1"
    drain_seconds: Annotated[
        float, Key("Longest graceful shutdown.", "seconds", 0, 3600)
    ] = 120.0


class PlatformSettings(NamedTuple):
    """``[platform]``: where the outside systems are."""

    tables_url: Annotated[str, Key("Table service.")] = "http://127.0.0.1:9101"
    objects_url: Annotated[str, Key("Object store.")] = "http://127.0.0.1:9102"
    cloud_url: Annotated[str, Key("Cloud API.")] = "http://127.0.0.1:9103"
    instances_url: Annotated[str, Key("Instance list.")] = "http://127.0.0.1:9104"
    weights_url: Annotated[str, Key("Weight store.")] = "http://127.0.0.1:9105"
    timeout: Annotated[
        float, Key("Longest wait for one platform call.", "seconds", 0.05, 60)
    ] = 2.0
    table_writes_per_s: Annotated[
        float, Key("Share of table writes for all own nodes.", "writes/s", 1, 100000)
    ] = 300.0


class PeerSettings(NamedTuple):
    """``[peers]``: the system's own processes among each other."""

    port: Annotated[
        int, Key("Port of the peer listener; 0 picks one.", "", 0, 65535)
    ] = 9200
    seeds: Annotated[str, Key("Peers' host:port to join by, comma separated.")] = ""
    credential: Annotated[
        str, Key("Shared credential between own processes.", secret=True)
    ] = "change-me"
    period: Annotated[
        float, Key("Time between rounds with a peer.", "seconds", 0.05, 60)
    ] = 1.0


class LogSettings(NamedTuple):
    """``[logs]``: what is written to standard output."""

    format: Annotated[str, Key("Form of a log line.", choices=("human", "json"))] = (
        "human"
    )
    level: Annotated[
        str, Key("Lowest level written.", choices=("debug", "info", "warning", "error"))
    ] = "info"


class TlsSettings(NamedTuple):
    """``[tls]``: TLS on every listener and between own processes."""

    enabled: Annotated[bool, Key("Serve and call with TLS.")] = False
    certificate: Annotated[str, Key("PEM file with this node's chain.")] = ""
    private_key: Annotated[str, Key("PEM file with its private key.")] = ""
    authority: Annotated[str, Key("PEM file of the authority that peers use.")] = ""
    reload_seconds: Annotated[
        float, Key("Time between looks for renewed files.", "seconds", 1, 86400)
    ] = 60.0
