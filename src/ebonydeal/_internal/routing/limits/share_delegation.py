"""Relays' equal shares of all limits, and the delegation of a share to a granter.

A relay may delegate its share for some time to another relay, the granter. It grants
nothing from the share until that time has passed on its own clock, counted from when it
received the granter's offer. The granter counts the share from when the relay sends the
offer back, until the same time has passed on its own clock, counted from when it made
the offer. So the granter's time ends first, however long calls take, whichever process
is suspended, and without synchronized clocks. A restarted relay has delegated nothing,
and has no share until the coordinator assigns one.
"""

from typing import NamedTuple

# The rates of relays' clocks differ by at most this fraction.
_MAX_CLOCK_DRIFT = 0.01
_NEVER = float("-inf")


class DelegationOffer(NamedTuple):
    """A granter's offer: who, until when on its clock, and its duration, seconds."""

    granter: str
    until: float
    seconds: float


class ShareLease:
    """One relay's share, and to whom it is delegated."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._weight_until = _NEVER
        self._offer = DelegationOffer("", _NEVER, 0.0)
        self._delegated_until = _NEVER

    def set_weight(self, weight: float, until: float) -> None:
        """Set this relay's share, as assigned by the coordinator, and its expiry.

        A weight of 0 changes nothing: the current share stays until it expires.
        """
        if weight > 0.0:
            self._weight = weight
            self._weight_until = until

    def weight(self, until: float) -> float:
        """Return the share if it is valid until then, otherwise 0."""
        return self._weight if until <= self._weight_until else 0.0

    def is_free(self, now: float) -> bool:
        """Return whether the share is delegated to nobody."""
        return now >= self._delegated_until

    def free_in(self, now: float) -> float:
        """Return the seconds until the share is free."""
        return max(0.0, self._delegated_until - now)

    def delegate(self, offer: DelegationOffer, now: float) -> bool:
        """Accept an offer, unless another granter has the share; return whether."""
        if not self.is_free(now) and offer.granter != self._offer.granter:
            return False
        self._offer = offer
        self._delegated_until = max(self._delegated_until, now + offer.seconds)
        return True

    def accepted_offer(self, now: float) -> DelegationOffer | None:
        """Return the offer under which the share is delegated, None if it is free."""
        return None if self.is_free(now) else self._offer

    def end_delegation(self, offer: DelegationOffer) -> None:
        """Note that the granter of this offer no longer counts the share."""
        if offer.granter == self._offer.granter:
            self._delegated_until = _NEVER

    def own_weight(self, now: float) -> float:
        """Return the share from which this relay grants by itself."""
        return self.weight(now) if self.is_free(now) else 0.0


class _Delegated(NamedTuple):
    incarnation: str
    weight: float
    until: float


class Delegations:
    """The shares that are delegated to one granter.

    Parameters
    ----------
    granter : str
        Its incarnation.
    """

    def __init__(self, granter: str) -> None:
        self.granter = granter
        self._shares: dict[str, _Delegated] = {}

    def offer(self, seconds: float, now: float) -> DelegationOffer:
        """Return an offer under which a relay may delegate its share."""
        return DelegationOffer(
            self.granter, now + seconds * (1.0 - _MAX_CLOCK_DRIFT), seconds
        )

    def drop_previous_process(self, node: str, incarnation: str) -> None:
        """Drop the share of a relay's previous process, whose delegation has ended."""
        known = self._shares.get(node)
        if known is not None and known.incarnation != incarnation:
            del self._shares[node]

    def add(
        self,
        node: str,
        incarnation: str,
        weight: float,
        offer: DelegationOffer,
        now: float,
    ) -> None:
        """Count a relay's share if it is delegated under an offer made here."""
        self.drop_previous_process(node, incarnation)
        self._shares = {n: d for n, d in self._shares.items() if now < d.until}
        if offer.granter == self.granter and now < offer.until:
            self._shares[node] = _Delegated(incarnation, weight, offer.until)

    def add_unassigned(self, node: str, incarnation: str, until: float) -> None:
        """Count the share of a relay that was assigned none since it started."""
        self._shares[node] = _Delegated(incarnation, 0.0, until)

    def share_of(self, node: str, incarnation: str, now: float) -> float:
        """Return the share that one relay's process has delegated."""
        known = self._shares.get(node)
        if known is None or known.incarnation != incarnation or now >= known.until:
            return 0.0
        return known.weight

    def release(self, node: str, incarnation: str) -> None:
        """Stop counting a share."""
        known = self._shares.get(node)
        if known is not None and known.incarnation == incarnation:
            del self._shares[node]

    def nodes(self, now: float) -> set[str]:
        """Return the relays whose shares are delegated."""
        return {node for node, d in self._shares.items() if now < d.until}

    def share(self, now: float) -> float:
        """Return the sum of delegated shares, as reported by the relays."""
        return sum(d.weight for d in self._shares.values() if now < d.until)
