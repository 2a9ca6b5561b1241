"""Converts streams and endpoint views to the migration planner's inputs; pure."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ebonydeal._internal.gateway.attempts import Attempt
from ebonydeal._internal.gateway.live_stream import LiveStream
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.routing.reclaim.migration_plan import (
    MigrationTarget,
    RunningStream,
)
from ebonydeal._internal.settings.gateway import GatewaySettings

_MB_PER_GB = 1024.0
_ROOM_IF_UNKNOWN = 4


class AffectedStream(NamedTuple):
    """A running stream whose endpoint is leaving."""

    live: LiveStream
    attempt: Attempt

    @property
    def is_current(self) -> bool:
        """Whether the attempt is still running and not being migrated."""
        live = self.live
        return live.attempt is self.attempt and not live.migrating and not live.finish


def stream_key(stream: AffectedStream) -> str:
    """Return the planner's id of a stream: per attempt, as requests may run twice."""
    return stream.attempt.attempt_id


def running_stream(
    stream: AffectedStream, cfg: GatewaySettings, now: float
) -> RunningStream:
    """Return the planner's input for a stream.

    Parameters
    ----------
    item : Affected
        The stream.
    cfg : GatewaySettings
        KV cache size per token.
    now : float
        Clock seconds.
    """
    live, attempt = stream
    request = live.job.request
    context = request.prompt_tokens + len(live.delivered)
    return RunningStream(
        request_id=stream_key(stream),
        endpoint_id=attempt.route.endpoint.endpoint_id,
        context_tokens=context,
        remaining_tokens_estimate=max(1.0, request.max_tokens - len(live.delivered)),
        tokens_per_s=_rate(stream, now),
        kv_gb=context * cfg.kv_mb_per_token / _MB_PER_GB,
        prefix=live.job.prefix,
    )


def _rate(stream: AffectedStream, now: float) -> float:
    """Return the running attempt's tokens per second; 0.0 before the first token."""
    first_at = stream.attempt.first_at
    if first_at is None or now <= first_at:
        return 0.0
    start = (
        len(stream.attempt.engine_request.resume.delivered)
        if stream.attempt.engine_request.resume
        else 0
    )
    return (len(stream.live.delivered) - start) / (now - first_at)


def migration_targets(
    views: Iterable[EndpointView], model: str
) -> list[MigrationTarget]:
    """Return the endpoints that serve ``model``, with their free capacity."""
    return [
        MigrationTarget(view, _room(view)) for view in views if model in view.models
    ]


def _room(view: EndpointView) -> int:
    """Return how many more streams an endpoint can run without queueing."""
    if view.load is None:
        return _ROOM_IF_UNKNOWN
    return max(0, view.load.slots - view.load.running - view.load.waiting)


def export_rate(affected: Sequence[AffectedStream], gb_per_s: float) -> float:
    """Return this gateway's share of the sources' export rate, gigabytes per second.

    Other gateways export from the same engines at the same time, so the share is
    this gateway's fraction of the streams running there.
    """
    sources = {
        stream.attempt.route.endpoint.endpoint_id: stream.attempt.route.endpoint
        for stream in affected
    }
    running = sum(view.load.running for view in sources.values() if view.load)
    return gb_per_s * len(affected) / max(running, len(affected), 1)
