"""Processor time per request and per relayed token."""

import asyncio
from collections.abc import Callable
from statistics import median
from typing import Any, NamedTuple

from mode import Service

from ebonydeal._internal.benchmarks.gateway.sides import (
    PlainRelay,
    engine_server,
    gateway,
    send,
)
from ebonydeal._internal.benchmarks.gateway.threads import LoopThread

_US = 1e6


class CostSpec(NamedTuple):
    """How much is measured.

    Attributes
    ----------
    rounds : int
        Rounds; each measures both sides, the figures are their medians.
    requests : int
        Requests in one measurement.
    tokens : int
        Tokens of each long answer.
    at_once : int
        Requests in flight.
    seed : int
        Of the gateway's decisions.
    """

    rounds: int = 5
    requests: int = 200
    tokens: int = 100
    at_once: int = 50
    seed: int = 1


class Cost(NamedTuple):
    """Processor microseconds of one side; each list has one value a round."""

    name: str
    per_request: list[float]
    per_token: list[float]


class _Side(NamedTuple):
    """A side under measurement and its thread."""

    name: str
    thread: LoopThread
    service: Any


NewLoop = Callable[[], asyncio.AbstractEventLoop]


async def _start(build: Callable[[], Service]) -> Any:
    """Build and start a service inside its own loop."""
    service = build()
    await service.start()
    return service


def measure(
    spec: CostSpec, new_loop: NewLoop = asyncio.SelectorEventLoop
) -> list[Cost]:
    """Measure the plain relay and the gateway in the same run."""
    engine_thread, caller = LoopThread("engine"), LoopThread("caller")
    engine = engine_thread.call(_start(engine_server))
    sides = []
    for name, build in _builders(engine.address, spec.seed):
        thread = LoopThread(name, new_loop)
        sides.append(_Side(name, thread, thread.call(_start(build))))
    costs = {side.name: Cost(side.name, [], []) for side in sides}
    try:
        for side in sides:
            _cpu(side, caller, spec, 1)
        for _ in range(spec.rounds):
            for side in sides:
                _measure_round(side, caller, spec, costs[side.name])
    finally:
        for side in sides:
            side.thread.call(side.service.stop())
            side.thread.close()
        engine_thread.call(engine.stop())
        engine_thread.close()
        caller.close()
    return list(costs.values())


def _builders(engine: str, seed: int) -> list[tuple[str, Callable[[], Service]]]:
    """Return how to build each side."""
    return [
        ("plain relay", lambda: PlainRelay(engine)),
        ("gateway", lambda: gateway(engine, seed)),
    ]


def _measure_round(side: _Side, caller: LoopThread, spec: CostSpec, cost: Cost) -> None:
    """Add one round's figures."""
    short = _cpu(side, caller, spec, 1)
    long = _cpu(side, caller, spec, spec.tokens)
    cost.per_request.append(short / spec.requests * _US)
    more = spec.requests * (spec.tokens - 1)
    cost.per_token.append((long - short) / more * _US)


def _cpu(side: _Side, caller: LoopThread, spec: CostSpec, tokens: int) -> float:
    """Return the processor seconds that a side takes for all requests."""
    before = side.thread.cpu_seconds()
    caller.call(send(side.service.address, spec.requests, tokens, spec.at_once))
    return side.thread.cpu_seconds() - before


def report(spec: CostSpec, costs: list[Cost], loop: str) -> str:
    """Return the figures as text."""
    lines = [
        "Processor time of one thread, microseconds; median (lowest to highest) of "
        f"{spec.rounds} rounds.",
        f"{spec.requests} requests a measurement, {spec.at_once} at once, prompts of "
        f"200 words, answers of 1 and of {spec.tokens} tokens; event loop: {loop}.",
        "",
        f"{'':12} {'per request (1 token)':>28} {'per further token':>28}",
    ]
    for cost in costs:
        lines.append(
            f"{cost.name:12} {_spread(cost.per_request):>28} "
            f"{_spread(cost.per_token):>28}"
        )
    relay, own = costs
    ratio = (
        median(own.per_request) / median(relay.per_request),
        median(own.per_token) / median(relay.per_token),
    )
    lines.append(f"{'ratio':12} {ratio[0]:>27.2f}x {ratio[1]:>27.2f}x")
    return "\n".join(lines) + "\n"


def _spread(values: list[float]) -> str:
    """Return the median with the range."""
    return f"{median(values):.1f} ({min(values):.1f} to {max(values):.1f})"
