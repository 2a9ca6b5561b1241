"""Stand-in endpoints for tests, and a context manager that runs them."""

import random
from contextlib import asynccontextmanager

from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.standin.attempts import EngineSpec
from ebonydeal._internal.standin.engine import StandinEngine
from ebonydeal._internal.standin.service import ServiceSpec, StandinService

MODEL = "covers-7b"
FAST = EngineSpec(event_lag=0.0, event_loss=0.0, load_lag=0.0).at_speed(100.0)


def view_of(endpoint) -> EndpointView:
    return EndpointView(
        endpoint_id=endpoint.endpoint_id,
        incarnation=1,
        kind=EndpointKind(endpoint.kind),
        address=endpoint.address,
        place=Place("wales", "wales-1"),
        deployment="covers",
        models=(MODEL,),
        state=EndpointState.READY,
        reclaimable=True,
        evict_per_hour=0.5,
        price_per_hour=1.0,
    )


@asynccontextmanager
async def running(*services):
    """Start services, and stop them when the context exits."""
    for service in services:
        await service.start()
    try:
        yield services[0] if len(services) == 1 else services
    finally:
        for service in reversed(services):
            await service.stop()


def engine(endpoint_id: str = "i-1", spec: EngineSpec = FAST, **options):
    return StandinEngine(endpoint_id, (MODEL,), spec, random.Random(1), **options)


def service(endpoint_id: str = "i-2", spec: ServiceSpec | None = None, **options):
    spec = spec or ServiceSpec(work_seconds=0.002, load_lag=0.0)
    return StandinService(endpoint_id, spec, **options)
