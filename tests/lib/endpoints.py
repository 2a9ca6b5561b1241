"""Builders of endpoint views and leaving marks, and a fake instance list."""

from typing import Any

from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
    LeavingMark,
)
from ebonydeal._internal.models.places import Place


def make_view(endpoint_id: str = "i-1", **changes: Any) -> EndpointView:
    view = EndpointView(
        endpoint_id=endpoint_id,
        incarnation=1,
        kind=EndpointKind.ENGINE,
        address="127.0.0.1:1",
        place=Place("wales", "wales-1"),
        deployment="pool",
        models=("m",),
        state=EndpointState.READY,
        reclaimable=True,
        evict_per_hour=0.1,
        price_per_hour=1.0,
    )
    return view._replace(**changes)


def make_mark(endpoint_id: str = "i-1", **changes: Any) -> LeavingMark:
    mark = LeavingMark(endpoint_id, 1, "", 0.0, "peer", 1_000_000.0)
    return mark._replace(**changes)


class ListedInstances:
    """Fake instance list with endpoints and nodes set by the test."""

    def __init__(self, *views: EndpointView) -> None:
        self.views = list(views)
        self.nodes: list[tuple[str, str]] = []
        self.error: Exception | None = None

    async def endpoints(self) -> list[EndpointView]:
        if self.error is not None:
            raise self.error
        return list(self.views)

    async def own_nodes(self) -> list[tuple[str, str]]:
        if self.error is not None:
            raise self.error
        return list(self.nodes)
