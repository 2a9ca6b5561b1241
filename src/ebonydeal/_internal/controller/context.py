"""What every deployment's worker is given."""

import random
from collections.abc import Callable
from typing import NamedTuple

from ebonydeal._internal.controller.demand import DemandPolicy
from ebonydeal._internal.controller.fleet import ReconcilePolicy
from ebonydeal._internal.controller.lease import Holder
from ebonydeal._internal.controller.load_desk import LoadDesk
from ebonydeal._internal.controller.orders import OrderPolicy
from ebonydeal._internal.controller.placement import PlacementPolicy
from ebonydeal._internal.controller.ports import ControlledEngine
from ebonydeal._internal.models.endpoints import LeavingMark
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.interfaces import Cloud, Tables
from ebonydeal._internal.settings.controller import ControllerSettings
from ebonydeal._internal.utils.clock import Clock


class Context(NamedTuple):
    """Adapters and means, the same for all deployments.

    Attributes
    ----------
    cfg : ControllerSettings
        ``[controller]``.
    holder : Holder
        This run of this process.
    tables, cloud, engine : Tables, Cloud, ControlledEngine
        Adapters.
    desk : LoadDesk
        Paces weight loads.
    metrics, clock, rng
        Counters, time, randomness.
    mark : callable
        Takes a `LeavingMark` and spreads it.
    """

    cfg: ControllerSettings
    holder: Holder
    tables: Tables
    cloud: Cloud
    engine: ControlledEngine
    desk: LoadDesk
    metrics: Metrics
    clock: Clock
    rng: random.Random
    mark: Callable[[LeavingMark], None]

    def reconcile_policy(self) -> ReconcilePolicy:
        """Return the constants of reconciling."""
        return ReconcilePolicy(
            list_grace=self.cfg.list_grace,
            warm_timeout=self.cfg.warm_timeout,
            drain_longest=self.cfg.drain_longest,
            drain_over_ceiling=self.cfg.drain_over_ceiling,
        )

    def order_policy(self) -> OrderPolicy:
        """Return the constants of orders."""
        return OrderPolicy(
            quiet=self.cfg.lease_ttl + self.cfg.longest_order,
            longest_order=self.cfg.longest_order,
            audit_period=self.cfg.audit_period,
        )

    def demand_policy(self) -> DemandPolicy:
        """Return the constants of demand."""
        return DemandPolicy(
            hold_down=self.cfg.hold_down, service_s=self.cfg.service_seconds
        )

    def placement_policy(self) -> PlacementPolicy:
        """Return the constants of placement."""
        return PlacementPolicy(on_demand_share=self.cfg.on_demand_share)
