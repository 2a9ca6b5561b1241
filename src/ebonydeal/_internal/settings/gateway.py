"""Settings of the gateway."""

from typing import Annotated, NamedTuple

from ebonydeal._internal.settings.keys import Key


class GatewaySettings(NamedTuple):
    """``[gateway]``: callers' connections, streams and limits."""

    port: Annotated[
        int, Key("Port of the callers' listener; 0 picks one.", "", 0, 65535)
    ] = 9000
    max_body_bytes: Annotated[
        int, Key("Largest body of a request.", "bytes", 1024, 1 << 30)
    ] = 4 * 1024 * 1024
    max_header_bytes: Annotated[
        int, Key("Largest header line of a request.", "bytes", 1024, 65536)
    ] = 8190
    body_seconds: Annotated[
        float, Key("Longest time to receive a body.", "seconds", 0.1, 3600)
    ] = 30.0
    idle_seconds: Annotated[
        float, Key("Longest idle time of a kept connection.", "seconds", 1, 3600)
    ] = 75.0
    write_seconds: Annotated[
        float, Key("Longest time a reader may take no data.", "seconds", 1, 3600)
    ] = 120.0
    request_seconds: Annotated[
        float, Key("Deadline of a request that names none.", "seconds", 1, 86400)
    ] = 600.0
    max_output_tokens: Annotated[
        int, Key("Output tokens assumed where none are named.", "tokens", 1, 1 << 20)
    ] = 1024
    first_token_seconds: Annotated[
        float, Key("Longest wait for a first token.", "seconds", 0.05, 3600)
    ] = 30.0
    token_gap_seconds: Annotated[
        float, Key("Longest wait between two tokens.", "seconds", 0.05, 3600)
    ] = 5.0
    resume_wait_seconds: Annotated[
        float, Key("Wait of a begun stream for an endpoint.", "seconds", 0, 3600)
    ] = 30.0
    buffer_tokens: Annotated[
        int, Key("Tokens read ahead of a slow reader.", "tokens", 1, 65536)
    ] = 64
    export_seconds: Annotated[
        float, Key("Longest export and import of a KV cache.", "seconds", 0.05, 600)
    ] = 10.0
    kv_mb_per_token: Annotated[
        float, Key("Size of the KV cache of one token.", "megabytes", 0, 1024)
    ] = 0.1
    kv_gb_per_s: Annotated[
        float, Key("KV cache that an engine exports.", "gigabytes/s", 0.001, 10000)
    ] = 2.0
    notice_seconds: Annotated[
        float, Key("Notice assumed where none is told.", "seconds", 0, 3600)
    ] = 2.0
    retention_seconds: Annotated[
        float, Key("How long a broken stream can be resumed.", "seconds", 0, 3600)
    ] = 60.0
    retention_tokens: Annotated[
        int, Key("Tokens kept for such streams, in total.", "tokens", 0, 1 << 28)
    ] = 1 << 20
    service_seconds: Annotated[
        float, Key("Longest call of a plain service.", "seconds", 0.05, 3600)
    ] = 30.0
    hedge_seconds: Annotated[
        float, Key("Look-up time before a second try; 0: none.", "seconds", 0, 60)
    ] = 0.25
    settle_seconds: Annotated[
        float, Key("Not ready before the listener closes.", "seconds", 0, 600)
    ] = 5.0
    explain_requests: Annotated[
        int, Key("Requests whose decisions are kept.", "requests", 0, 1 << 20)
    ] = 2000
    operator_token: Annotated[
        str, Key("Token for the operators' pages; empty: closed.", secret=True)
    ] = ""
