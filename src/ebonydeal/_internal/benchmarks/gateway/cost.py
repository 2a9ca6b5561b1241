"""Processor time per request and per relayed token."""

import asyncio
from collections.abc import Callable
from statistics import median
from typing import Any, NamedTuple

from mode import Service

from ebonydeal._internal.benchmarks.gateway.components import (
    PlainProxy,
    engine_server,
    gateway,
    send_requests,
)
from ebonydeal._internal.benchmarks.gateway.threads import LoopThread

_US_PER_S = 1e6


class CostSpec(NamedTuple):
    """Extent of a measurement.

    Attributes
    ----------
    rounds : int
        Rounds; each measures both components. The results are medians over rounds.
    requests : int
        Requests of one measurement.
    tokens : int
        Tokens of each long answer.
    at_once : int
        Maximum requests in flight.
    seed : int
        Seed of the gateway's decisions.
    """

    rounds: int = 5
    requests: int = 200
    tokens: int = 100
    concurrency: int = 50
    seed: int = 1


class Cost(NamedTuple):
    """Processor microseconds of one component; each list has one value per round."""

    name: str
    per_request_us: list[float]
    per_token_us: list[float]


class _Component(NamedTuple):
    """A component under measurement and its thread."""

    name: str
    thread: LoopThread
    service: Any


NewLoop = Callable[[], asyncio.AbstractEventLoop]


async def _start(build: Callable[[], Service]) -> Any:
    """Build and start a service inside its own event loop."""
    service = build()
    await service.start()
    return service


def measure(
    spec: CostSpec, new_loop: NewLoop = asyncio.SelectorEventLoop
) -> list[Cost]:
    """Measure the plain proxy and the gateway in the same run."""
    engine_thread, caller = LoopThread("engine"), LoopThread("caller")
    engine = engine_thread.call(_start(engine_server))
    components = []
    for name, build in _builders(engine.address, spec.seed):
        thread = LoopThread(name, new_loop)
        components.append(_Component(name, thread, thread.call(_start(build))))
    costs = {component.name: Cost(component.name, [], []) for component in components}
    try:
        for component in components:
            _measure_cpu(component, caller, spec, 1)
        for _ in range(spec.rounds):
            for component in components:
                _measure_round(component, caller, spec, costs[component.name])
    finally:
        for component in components:
            component.thread.call(component.service.stop())
            component.thread.close()
        engine_thread.call(engine.stop())
        engine_thread.close()
        caller.close()
    return list(costs.values())


def _builders(engine: str, seed: int) -> list[tuple[str, Callable[[], Service]]]:
    """Return the name and the factory of each component."""
    return [
        ("plain relay", lambda: PlainProxy(engine)),
        ("gateway", lambda: gateway(engine, seed)),
    ]


def _measure_round(
    component: _Component, caller: LoopThread, spec: CostSpec, cost: Cost
) -> None:
    """Measure one round and add its results to ``cost``."""
    one_token_s = _measure_cpu(component, caller, spec, 1)
    long_answer_s = _measure_cpu(component, caller, spec, spec.tokens)
    cost.per_request_us.append(one_token_s / spec.requests * _US_PER_S)
    further_tokens = spec.requests * (spec.tokens - 1)
    cost.per_token_us.append((long_answer_s - one_token_s) / further_tokens * _US_PER_S)


def _measure_cpu(
    component: _Component, caller: LoopThread, spec: CostSpec, tokens: int
) -> float:
    """Return the processor seconds that a component uses for all requests."""
    before = component.thread.cpu_seconds()
    caller.call(
        send_requests(
            component.service.address, spec.requests, tokens, spec.concurrency
        )
    )
    return component.thread.cpu_seconds() - before


def report(spec: CostSpec, costs: list[Cost], loop: str) -> str:
    """Return the results as text."""
    lines = [
        "Processor time of one thread, microseconds; median (lowest to highest) of "
        f"{spec.rounds} rounds.",
        f"{spec.requests} requests a measurement, {spec.concurrency} at once, prompts "
        f"of 200 words, answers of 1 and of {spec.tokens} tokens; event loop: {loop}.",
        "",
        f"{'':12} {'per request (1 token)':>28} {'per further token':>28}",
    ]
    for cost in costs:
        lines.append(
            f"{cost.name:12} {_format_range(cost.per_request_us):>28} "
            f"{_format_range(cost.per_token_us):>28}"
        )
    proxy_cost, gateway_cost = costs
    ratio = (
        median(gateway_cost.per_request_us) / median(proxy_cost.per_request_us),
        median(gateway_cost.per_token_us) / median(proxy_cost.per_token_us),
    )
    lines.append(f"{'ratio':12} {ratio[0]:>27.2f}x {ratio[1]:>27.2f}x")
    return "\n".join(lines) + "\n"


def _format_range(values: list[float]) -> str:
    """Return the median with the minimum and maximum."""
    return f"{median(values):.1f} ({min(values):.1f} to {max(values):.1f})"
