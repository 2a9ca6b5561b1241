"""Settings of the gateway."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class GatewaySettings(NamedTuple):
    """``[gateway]``: connections of callers, streams and limits."""

    port: Annotated[int, Key("Port for callers; 0 picks a free one.", "", 0, 65535)] = (
        9000
    )
    max_body_bytes: Annotated[
        int, Key("Maximum size of a request body.", "bytes", 1024, 1 << 30)
    ] = 4 * 1024 * 1024
    max_header_bytes: Annotated[
        int, Key("Maximum size of a request header line.", "bytes", 1024, 65536)
    ] = 8190
    max_head_bytes: Annotated[
        int, Key("Maximum size of a request's whole head.", "bytes", 1024, 1 << 24)
    ] = 65_536
    head_seconds: Annotated[
        float, Key("Timeout for receiving a request's head.", "seconds", 0.1, 3600)
    ] = 30.0
    body_seconds: Annotated[
        float, Key("Timeout for receiving a request body.", "seconds", 0.1, 3600)
    ] = 30.0
    idle_seconds: Annotated[
        float, Key("Timeout of idle keep-alive connections.", "seconds", 1, 3600)
    ] = 75.0
    write_seconds: Annotated[
        float, Key("Timeout for a client that reads no data.", "seconds", 1, 3600)
    ] = 120.0
    request_seconds: Annotated[
        float, Key("Default deadline of a request.", "seconds", 1, 86400)
    ] = 600.0
    max_output_tokens: Annotated[
        int, Key("Output tokens assumed if none are requested.", "tokens", 1, 1 << 20)
    ] = 1024
    first_token_seconds: Annotated[
        float, Key("Timeout of the first token.", "seconds", 0.05, 3600)
    ] = 30.0
    token_gap_seconds: Annotated[
        float, Key("Timeout between two tokens.", "seconds", 0.05, 3600)
    ] = 5.0
    resume_wait_seconds: Annotated[
        float, Key("Time a started stream waits for an endpoint.", "seconds", 0, 3600)
    ] = 30.0
    buffer_tokens: Annotated[
        int, Key("Tokens buffered for a slow client.", "tokens", 1, 65536)
    ] = 64
    export_seconds: Annotated[
        float, Key("Timeout of KV cache export plus import.", "seconds", 0.05, 600)
    ] = 10.0
    kv_mb_per_token: Annotated[
        float, Key("KV cache size of one token.", "megabytes", 0, 1024)
    ] = 0.1
    kv_gb_per_s: Annotated[
        float,
        Key("Rate at which an engine exports KV cache.", "gigabytes/s", 0.001, 10000),
    ] = 2.0
    notice_seconds: Annotated[
        float, Key("Notice time assumed if none is given.", "seconds", 0, 3600)
    ] = 2.0
    retention_seconds: Annotated[
        float, Key("Time for which a broken stream can be resumed.", "seconds", 0, 3600)
    ] = 60.0
    retention_tokens: Annotated[
        int, Key("Tokens kept for all broken streams.", "tokens", 0, 1 << 28)
    ] = 1 << 20
    service_seconds: Annotated[
        float, Key("Timeout of a plain service call.", "seconds", 0.05, 3600)
    ] = 30.0
    hedge_seconds: Annotated[
        float, Key("Lookup time before a hedge; 0 disables hedging.", "seconds", 0, 60)
    ] = 0.25
    settle_seconds: Annotated[
        float, Key("Not-ready time before the listener closes.", "seconds", 0, 600)
    ] = 5.0
    explain_requests: Annotated[
        int, Key("Requests whose decision trails are kept.", "requests", 0, 1 << 20)
    ] = 2000
    operator_token: Annotated[
        str, Key("Token for operator pages; empty: disabled.", secret=True)
    ] = ""
