"""Which endpoints this gateway watches, kept in step with gateways and endpoints."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

from mode import Service

from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.routing.placement.subset import PlacedProcess, choose_subset
from ebonydeal._internal.settings.routing import RoutingSettings
from ebonydeal._internal.utils.clock import Clock

_REFRESH_INTERVAL_S = 1.0


class EndpointSource(Protocol):
    """Where the endpoints are known."""

    def all_views(self) -> tuple[EndpointView, ...]:
        """Return all listed endpoints."""


class EndpointSubset(Service):
    """Chooses the endpoints that this gateway sends to and polls.

    Parameters
    ----------
    own : PlacedProcess
        This gateway.
    gateways : callable
        Returns the other gateways that are alive.
    views : Views
        The endpoints.
    cfg : RoutingSettings
        Size of the subset.
    on_change : callable
        Called with the ids watched whenever they change.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        own: PlacedProcess,
        gateways: Callable[[], Iterable[PlacedProcess]],
        views: EndpointSource,
        cfg: RoutingSettings,
        on_change: Callable[[frozenset[str]], None],
        clock: Clock,
    ) -> None:
        super().__init__()
        self._own = own
        self._gateways = gateways
        self._views = views
        self._cfg = cfg
        self._on_change = on_change
        self._clock = clock
        self._chosen_ids: frozenset[str] | None = None

    def includes(self, view: EndpointView) -> bool:
        """Return whether an endpoint is watched; all are before the first choice."""
        return self._chosen_ids is None or view.endpoint_id in self._chosen_ids

    def refresh(self) -> None:
        """Choose anew from what is known now."""
        groups: dict[str, list[PlacedProcess]] = defaultdict(list)
        for view in self._views.all_views():
            groups[view.deployment].append(PlacedProcess(view.endpoint_id, view.place))
        gateways = list(self._gateways())
        watched: set[str] = set()
        for endpoints in groups.values():
            watched |= choose_subset(
                self._own,
                gateways,
                endpoints,
                self._cfg.subset,
                self._cfg.spill_share,
            )
        chosen = frozenset(watched)
        if chosen != self._chosen_ids:
            self._chosen_ids = chosen
            self._on_change(chosen)

    @Service.task
    async def _refresh_periodically(self) -> None:
        while not self.should_stop:
            self.refresh()
            await self._clock.sleep(_REFRESH_INTERVAL_S)
