"""Dependencies that the workers of all deployments share."""

import random
from collections.abc import Callable
from typing import NamedTuple

from ebonydeal._internal.controller.demand import DemandConfig
from ebonydeal._internal.controller.lease import Holder
from ebonydeal._internal.controller.orders import OrderConfig
from ebonydeal._internal.controller.placement import PlacementConfig
from ebonydeal._internal.controller.ports import ControlledEngine
from ebonydeal._internal.controller.reconcile_state import ReconcileConfig
from ebonydeal._internal.controller.weight_load_scheduler import WeightLoadScheduler
from ebonydeal._internal.models.endpoints import LeavingMark
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.interfaces import Cloud, Tables
from ebonydeal._internal.settings.controller import ControllerSettings
from ebonydeal._internal.utils.clock import Clock


class ControllerContext(NamedTuple):
    """Adapters, settings and callbacks, the same for all deployments.

    Attributes
    ----------
    cfg : ControllerSettings
        ``[controller]``.
    holder : Holder
        Identity of this run of the process.
    tables, cloud, engine : Tables, Cloud, ControlledEngine
        Adapters.
    load_scheduler : WeightLoadScheduler
        Limits the rate of weight loads.
    metrics, clock, rng
        Counters, time and random numbers.
    mark : callable
        Publishes a `LeavingMark` to the other processes.
    """

    cfg: ControllerSettings
    holder: Holder
    tables: Tables
    cloud: Cloud
    engine: ControlledEngine
    load_scheduler: WeightLoadScheduler
    metrics: Metrics
    clock: Clock
    rng: random.Random
    mark: Callable[[LeavingMark], None]

    def reconcile_config(self) -> ReconcileConfig:
        """Return the parameters of reconciliation."""
        return ReconcileConfig(
            list_grace=self.cfg.list_grace,
            warm_timeout=self.cfg.warm_timeout,
            max_drain_s=self.cfg.drain_longest,
            drain_over_ceiling=self.cfg.drain_over_ceiling,
        )

    def order_config(self) -> OrderConfig:
        """Return the parameters of orders."""
        return OrderConfig(
            predecessor_timeout_s=self.cfg.lease_ttl + self.cfg.longest_order,
            max_order_s=self.cfg.longest_order,
            audit_period=self.cfg.audit_period,
        )

    def demand_config(self) -> DemandConfig:
        """Return the parameters of demand."""
        return DemandConfig(
            hold_down=self.cfg.hold_down, service_s=self.cfg.service_seconds
        )

    def placement_config(self) -> PlacementConfig:
        """Return the parameters of placement."""
        return PlacementConfig(on_demand_share=self.cfg.on_demand_share)
