"""Processor time of one routing decision by number of endpoints."""

from random import Random
from time import perf_counter_ns
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
    LoadReport,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.routing.placement.router import Router
from ebonydeal._internal.routing.placement.types import RouteRequest
from ebonydeal._internal.settings.routing import RoutingSettings

ENDPOINT_COUNTS = (10, 30, 64, 100, 300, 1000, 2000)
_BLOCKS = 100
_SESSIONS = 50
_START_S = 1_000_000.0
_REPORT_AGE_S = 0.5
_DECISIONS_PER_REPORT = 50


class DecisionTime(NamedTuple):
    """Microseconds to choose an endpoint and record the send."""

    endpoints: int
    p50: float
    p99: float


def measure_decision_time(endpoints: int, rounds: int, seed: int) -> DecisionTime:
    """Time ``rounds`` choices among ``endpoints`` with warm caches."""
    router = Router.from_config(RoutingSettings(), Random(seed))
    views: tuple[EndpointView, ...] = ()
    histogram = HdrHistogram(1, 10_000_000_000, 3)
    rng = Random(seed)
    for number in range(rounds):
        request = _make_request(number, rng.randrange(_SESSIONS))
        now = _START_S + number * 0.01
        if number % _DECISIONS_PER_REPORT == 0:
            at = now - _REPORT_AGE_S
            views = tuple(_make_view(item, at) for item in range(endpoints))
        start = perf_counter_ns()
        choice = router.choose(request, views, now)
        assert choice is not None
        router.record_sent(choice, request, now)
        histogram.record_value(perf_counter_ns() - start)
        name = choice.endpoint.endpoint_id
        router.record_first_token(
            request.request_id, name, 0, request.prompt_tokens, now + 0.1
        )
        router.record_finished(request.request_id, name, now + 1.0)
    p50 = histogram.get_value_at_percentile(50.0) / 1000.0
    p99 = histogram.get_value_at_percentile(99.0) / 1000.0
    return DecisionTime(endpoints, p50, p99)


def _make_request(number: int, session: int) -> RouteRequest:
    return RouteRequest(
        request_id=f"r{number}",
        deployment="pool",
        model="m",
        blocks=tuple(f"{session}-{index}" for index in range(_BLOCKS)),
        prompt_tokens=_BLOCKS * 16,
        max_tokens=100,
        place=Place("palermo", "palermo-1"),
        session=f"s{session}",
    )


def _make_view(number: int, at: float) -> EndpointView:
    return EndpointView(
        endpoint_id=f"e{number}",
        incarnation=1,
        kind=EndpointKind.ENGINE,
        address="127.0.0.1:1",
        place=Place("palermo", f"palermo-{number % 3 + 1}"),
        deployment="pool",
        models=("m",),
        state=EndpointState.READY,
        reclaimable=True,
        evict_per_hour=1.0,
        price_per_hour=2.0,
        load=LoadReport(number % 5, 0, 16, 0.0, 50.0, at),
    )
