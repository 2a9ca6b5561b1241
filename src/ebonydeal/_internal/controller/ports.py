"""The part of an engine that a controller uses."""

from typing import Protocol

from ebonydeal._internal.models.endpoints import EndpointView, LoadReport
from ebonydeal._internal.outside.interfaces import EngineOrder


class ControlledEngine(Protocol):
    """Load reports and orders; `platform.interfaces.Engine` has both."""

    async def load(self, endpoint: EndpointView) -> LoadReport:
        """Ask an engine or plain service for its load."""

    async def order(self, endpoint: EndpointView, order: EngineOrder) -> None:
        """Give an order; raises ``STALE_ORDER`` where the engine checks."""

    async def order_state(self, endpoint: EndpointView) -> EngineOrder:
        """Read back the order in force."""
