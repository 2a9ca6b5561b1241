"""Interface of the operations of an engine that a controller uses."""

from typing import Protocol

from ebonydeal._internal.models.endpoints import EndpointView, LoadReport
from ebonydeal._internal.outside.interfaces import EngineOrder


class ControlledEngine(Protocol):
    """Load reports and orders of an engine."""

    async def load(self, endpoint: EndpointView) -> LoadReport:
        """Read the load report of an engine or plain service."""

    async def order(self, endpoint: EndpointView, order: EngineOrder) -> None:
        """Send an order; raises ``STALE_ORDER`` if the engine refuses its token."""

    async def order_state(self, endpoint: EndpointView) -> EngineOrder:
        """Read the order in force."""
