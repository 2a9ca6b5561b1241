"""Executes the decisions of `orders` for the engines of one deployment."""

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

_MAX_CONCURRENT_ENGINES = 32
_MAX_STEPS_PER_ROUND = 3


class OrderManager:
    """Brings engines to their desired state and keeps them in it.

    Parameters
    ----------
    lease : LeaseKeeper
        Provides the fencing token; confirmed in the table before sending.
    tables, engine : Tables, ControlledEngine
        Adapters.
    metrics : Metrics
        Counts orders sent and refused as stale.
    clock : Clock
        Source of time.
    config : OrderConfig
        Parameters.
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
        self._known_orders: dict[str, KnownOrder] = {}
        self._epoch: int | None = None
        self._confirmed = False

    async def round(
        self,
        engines: Mapping[str, EndpointView],
        desired: Mapping[str, EngineOrder],
        may_load: Collection[str],
        checks_fence: bool,
        predecessor_gone: bool,
    ) -> set[str]:
        """Do the next steps for each engine; return the ids of settled engines.

        Parameters
        ----------
        engines : mapping of str to EndpointView
            Engines by instance id.
        desired : mapping of str to EngineOrder
            Desired state of each, by instance id.
        may_load : collection of str
            Ids of engines that may load weights now.
        checks_fence, predecessor_gone : bool
            See `orders.next_step`.
        """
        if self._epoch != self._lease.epoch:
            self._known_orders.clear()
            self._epoch = self._lease.epoch
        for endpoint_id in set(self._known_orders) - set(engines):
            del self._known_orders[endpoint_id]
        self._confirmed = False
        leadership = Leadership(self._lease.held_since, predecessor_gone)
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_ENGINES)

        async def settle(endpoint_id: str) -> bool:
            async with semaphore:
                return await self._settle(
                    engines[endpoint_id],
                    desired,
                    endpoint_id in may_load,
                    leadership,
                    checks_fence,
                )

        settled = set()
        unsettled = []
        for endpoint_id in engines:
            if endpoint_id not in desired:
                continue
            step = self._step(endpoint_id, desired, leadership, checks_fence)
            if isinstance(step, Settled):
                settled.add(endpoint_id)
            elif not isinstance(step, HoldOrder):
                unsettled.append(endpoint_id)
        results = await asyncio.gather(
            *(settle(endpoint_id) for endpoint_id in unsettled)
        )
        return settled | {
            name for name, ok in zip(unsettled, results, strict=True) if ok
        }

    def _step(
        self,
        endpoint_id: str,
        desired: Mapping[str, EngineOrder],
        leadership: Leadership,
        checks_fence: bool,
    ) -> Step:
        """Return the next step for one engine."""
        return next_step(
            desired[endpoint_id],
            self._known_orders.get(endpoint_id, KnownOrder()),
            leadership,
            checks_fence,
            self._config,
            self._clock.now(),
        )

    def last_read(self, endpoint_id: str) -> EngineOrder | None:
        """Return the order last read from an engine; None if never read."""
        return self._known_orders.get(endpoint_id, KnownOrder()).found

    async def _settle(
        self,
        view: EndpointView,
        desired: Mapping[str, EngineOrder],
        may_load: bool,
        leadership: Leadership,
        checks_fence: bool,
    ) -> bool:
        """Do a limited number of steps for one engine; return if it is settled."""
        order = desired[view.endpoint_id]
        for _ in range(_MAX_STEPS_PER_ROUND):
            known = self._known_orders.get(view.endpoint_id, KnownOrder())
            try:
                match self._step(view.endpoint_id, desired, leadership, checks_fence):
                    case Settled():
                        return True
                    case HoldOrder():
                        return False
                    case ReadBack():
                        await self._read(view, order, known)
                    case SendOrder():
                        loaded = {*_models(known), *view.models}
                        if set(order.models) - loaded and not may_load:
                            return False
                        await self._send(view, order, known)
            except EbonydealError as exc:
                self._note_failure(view, exc)
                return False
        return False

    async def _read(
        self, view: EndpointView, desired: EngineOrder, known: KnownOrder
    ) -> None:
        """Read the order in force from an engine."""
        found = await self._engine.order_state(view)
        now = self._clock.now()
        self._known_orders[view.endpoint_id] = after_read(known, found, desired, now)

    async def _send(
        self, view: EndpointView, desired: EngineOrder, known: KnownOrder
    ) -> None:
        """Send an order, after the table has confirmed the lease this round."""
        await self._confirm_lease()
        self._known_orders[view.endpoint_id] = after_send(known)
        self._metrics.count(Event.ORDERS_SENT)
        await self._engine.order(view, desired)

    async def _confirm_lease(self) -> None:
        """Raise ``FENCED`` unless the table still has this leader's epoch."""
        if self._confirmed and self._lease.presumed_held():
            return
        row = await self._tables.get(self._lease.key)
        if row is None or row.value["epoch"] != self._epoch:
            self._lease.mark_lost()
            raise EbonydealError(
                ErrorKind.FENCED, "another controller has taken the lease"
            )
        self._confirmed = True

    def _note_failure(self, view: EndpointView, exc: EbonydealError) -> None:
        """Count and log a failure; a stale order proves that a newer leader exists."""
        if exc.kind is ErrorKind.STALE_ORDER:
            self._metrics.count(Event.ORDERS_STALE)
            self._lease.mark_lost()
        if exc.kind is ErrorKind.CONNECT_FAILED:
            logger.debug("Engine is unreachable.", endpoint=view.endpoint_id)
            return
        logger.warning("Order failed.", endpoint=view.endpoint_id, kind=str(exc.kind))


def _models(known: KnownOrder) -> tuple[str, ...]:
    """Return the models of the order last read from an engine."""
    return known.found.models if known.found is not None else ()
