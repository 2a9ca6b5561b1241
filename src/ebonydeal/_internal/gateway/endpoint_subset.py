"""Keeps this gateway's subset of endpoints up to date."""

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
    """Source of the listed endpoints."""

    def all_views(self) -> tuple[EndpointView, ...]:
        """Return all listed endpoints."""


class EndpointSubset(Service):
    """Chooses the endpoints that this gateway sends to and polls.

    Parameters
    ----------
    own : PlacedProcess
        This gateway and its place.
    gateways : callable
        Returns the other live gateways.
    views : EndpointSource
        The listed endpoints.
    cfg : RoutingSettings
        Size of the subset.
    on_change : callable
        Called with the endpoint ids of the subset whenever they change.
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
        """Return whether the subset has an endpoint; before the first refresh: all."""
        return self._chosen_ids is None or view.endpoint_id in self._chosen_ids

    def refresh(self) -> None:
        """Choose the subset again from the current endpoints and gateways."""
        groups: dict[str, list[PlacedProcess]] = defaultdict(list)
        for view in self._views.all_views():
            groups[view.deployment].append(PlacedProcess(view.endpoint_id, view.place))
        gateways = list(self._gateways())
        chosen_ids: set[str] = set()
        for endpoints in groups.values():
            chosen_ids |= choose_subset(
                self._own,
                gateways,
                endpoints,
                self._cfg.subset,
                self._cfg.spill_share,
            )
        chosen = frozenset(chosen_ids)
        if chosen != self._chosen_ids:
            self._chosen_ids = chosen
            self._on_change(chosen)

    @Service.task
    async def _refresh_periodically(self) -> None:
        while not self.should_stop:
            self.refresh()
            await self._clock.sleep(_REFRESH_INTERVAL_S)
