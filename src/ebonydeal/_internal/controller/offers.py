"""Offers that one deployment can buy, and their recent prices."""

from collections import deque
from collections.abc import Iterable, Mapping, Set

from ebonydeal._internal.controller.capacity import cheapest_price
from ebonydeal._internal.controller.start_backoff import StartBackoff
from ebonydeal._internal.controller.values import InstanceRow, OfferKey
from ebonydeal._internal.outside.interfaces import Offer
from ebonydeal._internal.utils.clock import Clock

PRICE_INTERVAL_S = 300.0
_MAX_PRICES = 288


class PriceHistory:
    """Cheapest reclaimable prices of the last day, one per ``PRICE_INTERVAL_S``."""

    def __init__(self) -> None:
        self._prices: deque[float] = deque(maxlen=_MAX_PRICES)
        self._recorded_at: float | None = None

    def record(self, price: float, now: float) -> None:
        """Record a price, at most one per interval."""
        if self._recorded_at is None or now - self._recorded_at >= PRICE_INTERVAL_S:
            self._prices.append(price)
            self._recorded_at = now

    def recent_prices(self) -> tuple[float, ...]:
        """Return the recorded prices, oldest first."""
        return tuple(self._prices)


def usable_offers(
    offers: Mapping[OfferKey, Offer], zones: Set[str]
) -> dict[OfferKey, Offer]:
    """Return the offers in the deployment's zones."""
    return {key: offer for key, offer in offers.items() if key.zone in zones}


class OfferTracker:
    """Tracks the offers of a deployment over the rounds.

    Parameters
    ----------
    start_backoff : StartBackoff
        Blocks offers that can't be bought now.
    clock : Clock
        Source of time.
    period : float
        Seconds between rounds.
    """

    def __init__(
        self, start_backoff: StartBackoff, clock: Clock, period: float
    ) -> None:
        self._start_backoff = start_backoff
        self._clock = clock
        self._period = period
        self._last: dict[OfferKey, Offer] = {}
        self._prices = PriceHistory()

    def usable(
        self,
        listed: Mapping[OfferKey, Offer],
        zones: Set[str],
        rows: Iterable[InstanceRow],
    ) -> dict[OfferKey, Offer]:
        """Return usable offers, including those that running instances were bought on.

        An offer that is no longer listed can't be bought. It is returned with its
        last price, so that the instances bought on it keep running.
        """
        offers = usable_offers(listed, zones)
        self._last.update(offers)
        now = self._clock.now()
        price = cheapest_price(offers, reclaimable=True)
        if price is not None:
            self._prices.record(price, now)
        for row in rows:
            key = OfferKey.of(row)
            if key not in offers and key.zone in zones:
                unlisted = Offer(*key, row.price_per_hour, 0.0, 1)
                offers[key] = self._last.get(key, unlisted)
                self._start_backoff.block(key, now, self._period * 2)
        return offers

    def block_zones(self, offers: Iterable[OfferKey], zones: Set[str]) -> None:
        """Block the reclaimable offers in ``zones`` until after the next round."""
        now = self._clock.now()
        for key in offers:
            if key.reclaimable and key.zone in zones:
                self._start_backoff.block(key, now, self._period * 2)

    def recent_prices(self) -> tuple[float, ...]:
        """Return the cheapest reclaimable prices of the last day."""
        return self._prices.recent_prices()
