"""Carries out the decisions of `orders` for one deployment's engines."""

import asyncio
from collections.abc import Collection, Mapping

from ebonydeal._internal.controller.lease import LeaseKeeper
from ebonydeal._internal.controller.orders import (
    HoldOrder,
    KnownOrder,
    Leadership,
    OrderConfig,
    ReadBack,
    SendOrder,
    Settled,
    Step,
    after_read,
    after_send,
    next_step,
)
from ebonydeal._internal.controller.ports import ControlledEngine
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import EngineOrder, Tables
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("controller")

_AT_ONCE = 32
_STEPS = 3


class OrderManager:
    """Brings engines to their wanted end and keeps them there.

    Parameters
    ----------
    lease : LeaseKeeper
        Gives the fencing number; confirmed in the table before sending.
    tables, engine : Tables, ControlledEngine
        Adapters.
    metrics : Metrics
        Counts orders sent and refused as stale.
    clock : Clock
        Source of time.
    config : OrderConfig
        Constants.
    """

    def __init__(
        self,
        lease: LeaseKeeper,
        tables: Tables,
        engine: ControlledEngine,
        metrics: Metrics,
        clock: Clock,
        config: OrderConfig,
    ) -> None:
        self._lease = lease
        self._tables = tables
        self._engine = engine
        self._metrics = metrics
        self._clock = clock
        self._config = config
        self._memories: dict[str, KnownOrder] = {}
        self._epoch: int | None = None
        self._confirmed = False

    async def round(
        self,
        engines: Mapping[str, EndpointView],
        wanted: Mapping[str, EngineOrder],
        may_load: Collection[str],
        checks_fence: bool,
        predecessor_gone: bool,
    ) -> set[str]:
        """Do the next steps for each engine; return the ids that are settled.

        Parameters
        ----------
        engines : mapping of str to EndpointView
            Engines by instance id.
        wanted : mapping of str to EngineOrder
            Wanted end of each.
        may_load : collection of str
            Ids whose weights may be loaded now.
        checks_fence, predecessor_gone : bool
            See `orders.next_step`.
        """
        if self._epoch != self._lease.epoch:
            self._memories.clear()
            self._epoch = self._lease.epoch
        for endpoint_id in set(self._memories) - set(engines):
            del self._memories[endpoint_id]
        self._confirmed = False
        leadership = Leadership(self._lease.held_since, predecessor_gone)
        limit = asyncio.Semaphore(_AT_ONCE)

        async def one(endpoint_id: str) -> bool:
            async with limit:
                return await self._settle(
                    engines[endpoint_id],
                    wanted,
                    endpoint_id in may_load,
                    leadership,
                    checks_fence,
                )

        settled = set()
        busy = []
        for endpoint_id in engines:
            if endpoint_id not in wanted:
                continue
            step = self._step(endpoint_id, wanted, leadership, checks_fence)
            if isinstance(step, Settled):
                settled.add(endpoint_id)
            elif not isinstance(step, HoldOrder):
                busy.append(endpoint_id)
        done = await asyncio.gather(*(one(endpoint_id) for endpoint_id in busy))
        return settled | {name for name, ok in zip(busy, done, strict=True) if ok}

    def _step(
        self,
        endpoint_id: str,
        wanted: Mapping[str, EngineOrder],
        leadership: Leadership,
        checks_fence: bool,
    ) -> Step:
        """Return the next step for one engine."""
        return next_step(
            wanted[endpoint_id],
            self._memories.get(endpoint_id, KnownOrder()),
            leadership,
            checks_fence,
            self._config,
            self._clock.now(),
        )

    def found(self, endpoint_id: str) -> EngineOrder | None:
        """Return the order last read from an engine."""
        return self._memories.get(endpoint_id, KnownOrder()).found

    async def _settle(
        self,
        view: EndpointView,
        wanted: Mapping[str, EngineOrder],
        may_load: bool,
        leadership: Leadership,
        checks_fence: bool,
    ) -> bool:
        """Do a few steps for one engine; return whether it is settled."""
        order = wanted[view.endpoint_id]
        for _ in range(_STEPS):
            memory = self._memories.get(view.endpoint_id, KnownOrder())
            try:
                match self._step(view.endpoint_id, wanted, leadership, checks_fence):
                    case Settled():
                        return True
                    case HoldOrder():
                        return False
                    case ReadBack():
                        await self._read(view, order, memory)
                    case SendOrder():
                        has = {*_models(memory), *view.models}
                        if set(order.models) - has and not may_load:
                            return False
                        await self._send(view, order, memory)
            except EbonydealError as exc:
                self._note_failure(view, exc)
                return False
        return False

    async def _read(
        self, view: EndpointView, wanted: EngineOrder, memory: KnownOrder
    ) -> None:
        """Read the order in force."""
        found = await self._engine.order_state(view)
        now = self._clock.now()
        self._memories[view.endpoint_id] = after_read(memory, found, wanted, now)

    async def _send(
        self, view: EndpointView, wanted: EngineOrder, memory: KnownOrder
    ) -> None:
        """Send an order, after the table has confirmed the lease this round."""
        await self._confirm()
        self._memories[view.endpoint_id] = after_send(memory)
        self._metrics.count(Event.ORDERS_SENT)
        await self._engine.order(view, wanted)

    async def _confirm(self) -> None:
        """Raise ``FENCED`` unless the table still holds our epoch."""
        if self._confirmed and self._lease.presumed_held():
            return
        row = await self._tables.get(self._lease.key)
        if row is None or row.value["epoch"] != self._epoch:
            self._lease.mark_lost()
            raise EbonydealError(ErrorKind.FENCED, "another controller leads now")
        self._confirmed = True

    def _note_failure(self, view: EndpointView, exc: EbonydealError) -> None:
        """Count and log; a stale order means that a newer leader is active."""
        if exc.kind is ErrorKind.STALE_ORDER:
            self._metrics.count(Event.ORDERS_STALE)
            self._lease.mark_lost()
        if exc.kind is ErrorKind.CONNECT_FAILED:
            logger.debug("An engine can't be reached.", endpoint=view.endpoint_id)
            return
        logger.warning(
            "An order failed.", endpoint=view.endpoint_id, kind=str(exc.kind)
        )


def _models(memory: KnownOrder) -> tuple[str, ...]:
    """Return the models that an engine was last seen with."""
    return memory.found.models if memory.found is not None else ()
