"""Settings of the journal."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class JournalSettings(NamedTuple):
    """``[journal]``: durable requests, their owners and their dispatch."""

    port: Annotated[
        int, Key("Port of the journal; 0 picks a free one.", "", 0, 65535)
    ] = 9300
    shards: Annotated[
        int,
        Key("Journal shards; equal on all nodes, never lowered.", "", 1, 4096),
    ] = 16
    lease_seconds: Annotated[
        float,
        Key("Time without renewal until a node lease expires.", "seconds", 0.5, 600),
    ] = 9.0
    renew_seconds: Annotated[
        float, Key("Renewal interval of a node lease.", "seconds", 0.1, 120)
    ] = 3.0
    lease_writes_per_s: Annotated[
        float, Key("Table writes for the leases of all nodes.", "writes/s", 0.1, 100000)
    ] = 60.0
    settle_seconds: Annotated[
        float,
        Key("Uptime of a node before shards move to it.", "seconds", 0, 3600),
    ] = 20.0
    writes_per_s: Annotated[
        float,
        Key(
            "Table writes of all owners for non-urgent records.", "writes/s", 1, 100000
        ),
    ] = 20.0
    urgent_writes_per_s: Annotated[
        float,
        Key("Additional table writes while a caller waits.", "writes/s", 0, 100000),
    ] = 75.0
    max_batch: Annotated[
        int, Key("Maximum number of records in a row.", "records", 1, 100000)
    ] = 400
    max_row_bytes: Annotated[
        int, Key("Maximum size of the records in a row.", "bytes", 1024, 16777216)
    ] = 262144
    max_pending: Annotated[
        int, Key("Maximum number of waiting records of a shard.", "records", 1, 1000000)
    ] = 4000
    max_requests: Annotated[
        int, Key("Maximum number of requests kept by a shard.", "", 1, 100000000)
    ] = 200000
    append_patience: Annotated[
        float, Key("Timeout of the write that accepts a request.", "seconds", 0.1, 120)
    ] = 5.0
    inline_bytes: Annotated[
        int, Key("Larger bodies go to the object store.", "bytes", 256, 1048576)
    ] = 16384
    snapshot_rows: Annotated[
        int, Key("Rows between snapshots of a shard.", "rows", 2, 100000)
    ] = 256
    retention_seconds: Annotated[
        float, Key("Retention of answers and idempotency keys.", "seconds", 1, 31536000)
    ] = 86400.0
    max_running: Annotated[
        int, Key("Maximum number of requests a node runs at once.", "", 1, 100000)
    ] = 256
    attempt_timeout: Annotated[
        float, Key("Timeout of a plain service call.", "seconds", 0.1, 3600)
    ] = 60.0
    stall_seconds: Annotated[
        float,
        Key("Timeout between events of an engine's stream.", "seconds", 0.1, 3600),
    ] = 30.0
    client_patience: Annotated[
        float, Key("Time for which a gateway looks for an owner.", "seconds", 0.1, 120)
    ] = 15.0
