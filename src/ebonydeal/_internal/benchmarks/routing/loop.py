"""The event loop of the bench: gateways choose, engine models serve."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from ebonydeal._internal.benchmarks.routing.engine import EngineModel, Job, Started
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

_US = 1_000_000
_REPORT_PERIOD = 0.25
_START = 1_000_000.0
_ONE_WAY_S = {
    Distance.SAME_ZONE: 0.0002,
    Distance.SAME_REGION: 0.0012,
    Distance.OTHER_REGION: 0.02,
}


class SignalConditions(NamedTuple):
    """How late and gappy the signals are: seconds, and share lost."""

    lag: float = 1.0
    loss: float = 0.1
    weights: Weights = Weights(1.0, 1.0)


class SimulationResult(NamedTuple):
    """What one run gave.

    Times in seconds; tokens recomputed are those that some engine had computed
    before, but not the chosen one, or that had been dropped.
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
    """One trace under one policy."""

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
        self._now = _START
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        self._first = HdrHistogram(1, 600 * _US, 3)
        self._seen: set[str] = set()
        self._recomputed = 0
        self._computed = 0
        self._answers = 0
        self._in_time = 0
        self._left = len(trace)
        self._last_end = _START

    def run(self) -> SimulationResult:
        """Play the whole trace."""
        for request in self._trace:
            self._at(_START + request.at, self._arrive, request)
        for number, view in enumerate(self._views):
            offset = _REPORT_PERIOD * number / len(self._views)
            self._at(_START + offset, self._measure, view.endpoint_id)
        while self._heap and self._left:
            self._now, _, act, args = heappop(self._heap)
            act(*args)
        return self._outcome()

    def _outcome(self) -> SimulationResult:
        hours = (self._last_end - _START) / 3600.0
        spent = sum(view.price_per_hour for view in self._views) * hours
        p50, p95, p99 = (
            self._first.get_value_at_percentile(percent) / _US
            for percent in (50.0, 95.0, 99.0)
        )
        return SimulationResult(
            answers=self._answers,
            recomputed=self._recomputed,
            computed=self._computed,
            p50=p50,
            p95=p95,
            p99=p99,
            in_time=self._in_time,
            cost_per_1000=1000.0 * spent / max(1, self._in_time),
        )

    # --- events --------------------------------------------------------------
    def _at(self, time: float, act: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heappush(self._heap, (time, self._count, act, args))

    def _arrive(self, request: TraceRequest) -> None:
        """A caller's request comes to a random gateway."""
        gateway = self._rng.randrange(len(self._gateways))
        place = self._zones[gateway % 3]
        ask = RouteRequest(
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
        name = self._gateways[gateway].choose(ask, self._views, self._now)
        job = Job(request, gateway, self._now)
        self._at(self._now + self._way(place, name), self._reach, name, job)

    def _way(self, place: Place, endpoint: str) -> float:
        """Return the one-way time to an endpoint, seconds."""
        view = next(view for view in self._views if view.endpoint_id == endpoint)
        return _ONE_WAY_S[distance(place, view.place)]

    def _reach(self, name: str, job: Job) -> None:
        self._begin(name, self._engines[name].enqueue(job, self._now))

    def _begin(self, name: str, started: Started | None) -> None:
        """Count what a prefill computes, and plan its end."""
        if started is None:
            return
        again = sum(block in self._seen for block in started.missed_blocks)
        self._recomputed += again * BLOCK_TOKENS
        self._computed += started.job.request.prompt_tokens - started.cached_tokens
        self._at(started.end, self._prefilled, name, started)

    def _prefilled(self, name: str, started: Started) -> None:
        engine = self._engines[name]
        self._seen.update(started.job.request.blocks)
        decode = engine.finish_prefill(started)
        place = self._zones[started.job.gateway % 3]
        self._at(self._now + self._way(place, name), self._first_token, name, started)
        self._at(self._now + decode, self._ended, name, started.job)
        self._begin(name, engine.advance(self._now))
        self._publish(name)

    def _first_token(self, name: str, started: Started) -> None:
        job = started.job
        seconds = self._now - job.sent_at
        self._first.record_value(max(1, int(seconds * _US)))
        self._in_time += seconds <= self._shape.first_token_s
        missed = job.request.prompt_tokens - started.cached_tokens
        self._gateways[job.gateway].first_token(
            job.request.request_id, name, started.cached_tokens, missed, self._now
        )

    def _ended(self, name: str, job: Job) -> None:
        engine = self._engines[name]
        engine.finish_answer(job)
        self._seen.update(job.request.full_blocks)
        self._answers += 1
        self._left -= 1
        self._last_end = self._now
        self._gateways[job.gateway].finished(job.request.request_id, name, self._now)
        self._begin(name, engine.advance(self._now))
        self._publish(name)

    # --- signals -------------------------------------------------------------
    def _measure(self, name: str) -> None:
        engine = self._engines[name]
        report = LoadReport(
            running=engine.running,
            waiting=engine.waiting,
            slots=self._shape.slots,
            kv_used=0.0,
            tokens_per_s=self._shape.token_rate,
            at=self._now,
        )
        self._at(self._now + self._conditions.lag, self._report, name, report)
        self._at(self._now + _REPORT_PERIOD, self._measure, name)

    def _report(self, name: str, report: LoadReport) -> None:
        self._views = tuple(
            view._replace(load=report) if view.endpoint_id == name else view
            for view in self._views
        )

    def _publish(self, name: str) -> None:
        """Send cache events on their way; each gateway loses its own."""
        events = self._engines[name].take_events()
        if events and self._gateways[0].listens:
            late = self._now + self._conditions.lag
            self._at(late, self._deliver, name, events)

    def _deliver(self, name: str, events: list[Any]) -> None:
        loss = self._conditions.loss
        draw = self._rng.random
        for gateway in self._gateways:
            heard = [event for event in events if draw() >= loss]
            gateway.cache_events(name, heard, self._now)


def _make_views(shape: Shape, zones: list[Place]) -> tuple[EndpointView, ...]:
    """Return the replicas of a shape, without load yet."""
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
