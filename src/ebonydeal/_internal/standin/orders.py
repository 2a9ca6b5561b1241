"""Orders to a simulated engine about its models, with fencing."""

import asyncio
from collections.abc import Callable
from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import EngineOrder


class Orders:
    """The order in force and the models that are loaded.

    Parameters
    ----------
    models : tuple of str
        Models that are loaded from the start.
    checks_fence : bool
        Whether an order with an outdated fencing token is refused.

    Attributes
    ----------
    on_change : callable, optional
        Called whenever the loaded models change.
    """

    def __init__(self, models: tuple[str, ...], checks_fence: bool) -> None:
        self.order = EngineOrder(0, models, "serve")
        self.loaded: set[str] = set(models)
        self.history: list[EngineOrder] = []
        self._checks_fence = checks_fence
        self.on_change: Callable[[], None] | None = None
        self._changed = asyncio.Event()

    def apply(self, message: dict[str, Any]) -> None:
        """Apply an order; raises STALE_ORDER or BAD_REQUEST."""
        try:
            order = EngineOrder(
                int(message["fence"]),
                tuple(str(name) for name in message["models"]),
                str(message["role"]),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise EbonydealError(
                ErrorKind.BAD_REQUEST, "the message is not an order"
            ) from exc
        if self._checks_fence and order.fence < self.order.fence:
            raise EbonydealError(
                ErrorKind.STALE_ORDER,
                f"a newer order with fence {self.order.fence} is in force",
            )
        self.order = order
        self.history.append(order)
        self.loaded &= set(order.models)
        self._changed.set()
        self._notify()

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()

    def next_missing(self) -> str | None:
        """Return a model that is ordered but not loaded, or None."""
        for model in self.order.models:
            if model not in self.loaded:
                return model
        return None

    async def wait_for_missing(self) -> str:
        """Wait until a model must be loaded, and return it."""
        while (model := self.next_missing()) is None:
            self._changed.clear()
            await self._changed.wait()
        return model

    def set_loaded(self, model: str) -> None:
        """Mark a model as loaded if it is still ordered."""
        if model in self.order.models:
            self.loaded.add(model)
            self._notify()

    def to_message(self) -> dict[str, Any]:
        """Return the JSON object of the order in force."""
        return {
            "fence": self.order.fence,
            "models": list(self.order.models),
            "role": self.order.role,
        }
