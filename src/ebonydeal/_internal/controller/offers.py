"""What one deployment can buy, and what prices were lately."""

from collections import deque
from collections.abc import Iterable, Mapping, Set

from ebonydeal._internal.controller.capacity import cheapest_price
from ebonydeal._internal.controller.start_backoff import StartBackoff
from ebonydeal._internal.controller.values import InstanceRow, OfferKey
from ebonydeal._internal.outside.interfaces import Offer
from ebonydeal._internal.utils.clock import Clock

PRICE_STEP_S = 300.0
_PRICES_KEPT = 288


class PriceHistory:
    """Cheapest reclaimable prices of the last day, one each ``PRICE_STEP_S``."""

    def __init__(self) -> None:
        self._prices: deque[float] = deque(maxlen=_PRICES_KEPT)
        self._at: float | None = None

    def record(self, price: float, now: float) -> None:
        """Remember a price, at most one a step."""
        if self._at is None or now - self._at >= PRICE_STEP_S:
            self._prices.append(price)
            self._at = now

    def recent_prices(self) -> tuple[float, ...]:
        """Return the remembered prices."""
        return tuple(self._prices)


def usable_offers(
    offers: Mapping[OfferKey, Offer], zones: Set[str]
) -> dict[OfferKey, Offer]:
    """Return the offers in the deployment's zones."""
    return {key: offer for key, offer in offers.items() if key.zone in zones}


class OfferTracker:
    """Offers of a deployment from round to round.

    Parameters
    ----------
    start_backoff : StartBackoff
        Told which offers are to be left alone.
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
        """Return usable offers, with the last price of what still runs.

        An offer that is listed no longer can't be bought, but what runs on it
        goes on.
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
        """Leave the reclaimable offers of ``zones`` alone until the next round."""
        now = self._clock.now()
        for key in offers:
            if key.reclaimable and key.zone in zones:
                self._start_backoff.block(key, now, self._period * 2)

    def recent_prices(self) -> tuple[float, ...]:
        """Return the cheapest reclaimable prices of the last day."""
        return self._prices.recent_prices()
