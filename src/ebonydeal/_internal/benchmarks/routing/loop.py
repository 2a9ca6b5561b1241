"""Event-driven simulation: gateways choose endpoints, engine models serve."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from ebonydeal._internal.benchmarks.routing.engine import (
    EngineModel,
    Job,
    StartedPrefill,
)
from ebonydeal._internal.benchmarks.routing.policies import Policy
from ebonydeal._internal.benchmarks.routing.traces import Shape, TraceRequest
from ebonydeal._internal.models.document import Weights
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
    LoadReport,
)
from ebonydeal._internal.models.places import Distance, Place, distance
from ebonydeal._internal.routing.placement.types import RouteRequest
from ebonydeal._internal.utils.prefix import BLOCK_TOKENS

_US_PER_S = 1_000_000
_REPORT_INTERVAL_S = 0.25
_START_S = 1_000_000.0
_ONE_WAY_S = {
    Distance.SAME_ZONE: 0.0002,
    Distance.SAME_REGION: 0.0012,
    Distance.OTHER_REGION: 0.02,
}


class SignalConditions(NamedTuple):
    """Lag of reports and events in seconds, share of events lost, and weights."""

    lag: float = 1.0
    loss: float = 0.1
    weights: Weights = Weights(1.0, 1.0)


class SimulationResult(NamedTuple):
    """Result of one run; times in seconds.

    ``recomputed`` counts tokens that another engine had computed, or that the chosen
    engine had computed and evicted.
    """

    answers: int
    recomputed: int
    computed: int
    p50: float
    p95: float
    p99: float
    in_time: int
    cost_per_1000: float


class Simulation:
    """Simulates one trace under one policy."""

    def __init__(
        self,
        shape: Shape,
        trace: list[TraceRequest],
        make_policy: Callable[[Random], Policy],
        conditions: SignalConditions,
        seed: int,
    ) -> None:
        self._shape = shape
        self._conditions = conditions
        self._rng = Random(f"run-{seed}")
        self._gateways = [
            make_policy(Random(f"gateway-{seed}-{number}"))
            for number in range(shape.gateways)
        ]
        self._zones = [Place(shape.region, f"{shape.region}-{n + 1}") for n in range(3)]
        self._views = _make_views(shape, self._zones)
        self._engines = {view.endpoint_id: EngineModel(shape) for view in self._views}
        self._trace = trace
        self._now = _START_S
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = 0
        self._first_token_times = HdrHistogram(1, 600 * _US_PER_S, 3)
        self._computed_blocks: set[str] = set()
        self._recomputed_tokens = 0
        self._computed_tokens = 0
        self._answers = 0
        self._in_time = 0
        self._unanswered = len(trace)
        self._last_end = _START_S

    def run(self) -> SimulationResult:
        """Simulate the whole trace."""
        for request in self._trace:
            self._schedule(_START_S + request.at, self._on_arrival, request)
        for number, view in enumerate(self._views):
            offset = _REPORT_INTERVAL_S * number / len(self._views)
            self._schedule(_START_S + offset, self._measure_load, view.endpoint_id)
        while self._heap and self._unanswered:
            self._now, _, action, args = heappop(self._heap)
            action(*args)
        return self._outcome()

    def _outcome(self) -> SimulationResult:
        hours = (self._last_end - _START_S) / 3600.0
        spent = sum(view.price_per_hour for view in self._views) * hours
        p50, p95, p99 = (
            self._first_token_times.get_value_at_percentile(percent) / _US_PER_S
            for percent in (50.0, 95.0, 99.0)
        )
        return SimulationResult(
            answers=self._answers,
            recomputed=self._recomputed_tokens,
            computed=self._computed_tokens,
            p50=p50,
            p95=p95,
            p99=p99,
            in_time=self._in_time,
            cost_per_1000=1000.0 * spent / max(1, self._in_time),
        )

    # --- events --------------------------------------------------------------
    def _schedule(self, time: float, action: Callable[..., None], *args: Any) -> None:
        self._event_count += 1
        heappush(self._heap, (time, self._event_count, action, args))

    def _on_arrival(self, request: TraceRequest) -> None:
        """Route a caller's request at a random gateway."""
        gateway = self._rng.randrange(len(self._gateways))
        place = self._zones[gateway % 3]
        route_request = RouteRequest(
            request_id=request.request_id,
            deployment="pool",
            model="m",
            blocks=request.blocks,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            place=place,
            session=request.session,
            weights=self._conditions.weights,
            first_token_s=self._shape.first_token_s,
        )
        name = self._gateways[gateway].choose(route_request, self._views, self._now)
        job = Job(request, gateway, self._now)
        self._schedule(
            self._now + self._one_way_s(place, name), self._reach_engine, name, job
        )

    def _one_way_s(self, place: Place, endpoint: str) -> float:
        """Return the one-way network latency to an endpoint in seconds."""
        view = next(view for view in self._views if view.endpoint_id == endpoint)
        return _ONE_WAY_S[distance(place, view.place)]

    def _reach_engine(self, name: str, job: Job) -> None:
        self._schedule_prefill_end(name, self._engines[name].enqueue(job, self._now))

    def _schedule_prefill_end(self, name: str, started: StartedPrefill | None) -> None:
        """Count the tokens that a prefill computes, and schedule its end."""
        if started is None:
            return
        recomputed_blocks = sum(
            block in self._computed_blocks for block in started.uncached_blocks
        )
        self._recomputed_tokens += recomputed_blocks * BLOCK_TOKENS
        self._computed_tokens += (
            started.job.request.prompt_tokens - started.cached_tokens
        )
        self._schedule(started.end, self._on_prefill_end, name, started)

    def _on_prefill_end(self, name: str, started: StartedPrefill) -> None:
        engine = self._engines[name]
        self._computed_blocks.update(started.job.request.blocks)
        decode = engine.finish_prefill(started)
        place = self._zones[started.job.gateway % 3]
        self._schedule(
            self._now + self._one_way_s(place, name),
            self._on_first_token,
            name,
            started,
        )
        self._schedule(self._now + decode, self._on_answer_end, name, started.job)
        self._schedule_prefill_end(name, engine.advance(self._now))
        self._publish_cache_events(name)

    def _on_first_token(self, name: str, started: StartedPrefill) -> None:
        job = started.job
        seconds = self._now - job.sent_at
        self._first_token_times.record_value(max(1, int(seconds * _US_PER_S)))
        self._in_time += seconds <= self._shape.first_token_s
        uncached_tokens = job.request.prompt_tokens - started.cached_tokens
        self._gateways[job.gateway].record_first_token(
            job.request.request_id,
            name,
            started.cached_tokens,
            uncached_tokens,
            self._now,
        )

    def _on_answer_end(self, name: str, job: Job) -> None:
        engine = self._engines[name]
        engine.finish_answer(job)
        self._computed_blocks.update(job.request.full_blocks)
        self._answers += 1
        self._unanswered -= 1
        self._last_end = self._now
        self._gateways[job.gateway].record_finished(
            job.request.request_id, name, self._now
        )
        self._schedule_prefill_end(name, engine.advance(self._now))
        self._publish_cache_events(name)

    # --- signals -------------------------------------------------------------
    def _measure_load(self, name: str) -> None:
        engine = self._engines[name]
        report = LoadReport(
            running=engine.running,
            waiting=engine.waiting,
            slots=self._shape.slots,
            kv_used=0.0,
            tokens_per_s=self._shape.token_rate,
            at=self._now,
        )
        self._schedule(
            self._now + self._conditions.lag, self._deliver_report, name, report
        )
        self._schedule(self._now + _REPORT_INTERVAL_S, self._measure_load, name)

    def _deliver_report(self, name: str, report: LoadReport) -> None:
        self._views = tuple(
            view._replace(load=report) if view.endpoint_id == name else view
            for view in self._views
        )

    def _publish_cache_events(self, name: str) -> None:
        """Schedule the delivery of cache events to the gateways."""
        events = self._engines[name].take_events()
        if events and self._gateways[0].uses_cache_events:
            delivered_at = self._now + self._conditions.lag
            self._schedule(delivered_at, self._deliver_cache_events, name, events)

    def _deliver_cache_events(self, name: str, events: list[Any]) -> None:
        loss = self._conditions.loss
        random = self._rng.random
        for gateway in self._gateways:
            received = [event for event in events if random() >= loss]
            gateway.apply_cache_events(name, received, self._now)


def _make_views(shape: Shape, zones: list[Place]) -> tuple[EndpointView, ...]:
    """Return the replicas of a shape, without load reports."""
    views: list[EndpointView] = []
    for zone, count, price in zip(zones, shape.replicas, shape.prices, strict=True):
        for _ in range(count):
            views.append(
                EndpointView(
                    endpoint_id=f"e{len(views)}",
                    incarnation=1,
                    kind=EndpointKind.ENGINE,
                    address="127.0.0.1:1",
                    place=zone,
                    deployment="pool",
                    models=("m",),
                    state=EndpointState.READY,
                    reclaimable=True,
                    evict_per_hour=shape.evict_per_hour,
                    price_per_hour=price,
                )
            )
    return tuple(views)
