"""Relays' equal shares of all limits, and who admits from each.

A relay that has a share may delegate it for a while to another, the granter. It admits
nothing from the share until the time is over by its own clock, which began when it got
the granter's word. The granter counts the share from when the relay tells that word
back, until the same time has passed since it gave the word, by its own clock. So the
granter's time is over first, whatever calls take, whoever is suspended, and without
clocks that agree. One that starts anew has promised nothing and has no share until the
coordinator tells it of one.
"""

from typing import NamedTuple

# Clocks of relays run at the same pace but for this part.
_DRIFT = 0.01
_NEVER = float("-inf")


class DelegationOffer(NamedTuple):
    """A granter's word: who, until when by its clock, and how long that is, seconds."""

    granter: str
    until: float
    seconds: float


class ShareLease:
    """One relay's share, and to whom it is delegated."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._weight_until = _NEVER
        self._word = DelegationOffer("", _NEVER, 0.0)
        self._promised_until = _NEVER

    def told(self, weight: float, until: float) -> None:
        """Take the coordinator's word of what this relay's share is, and until when.

        A share that was had longer stays until it would have ended.
        """
        if weight > 0.0:
            self._weight = weight
            self._weight_until = until

    def weight(self, until: float) -> float:
        """Return the share, if it is this relay's until then."""
        return self._weight if until <= self._weight_until else 0.0

    def is_free(self, now: float) -> bool:
        """Return whether the share isn't promised to anybody."""
        return now >= self._promised_until

    def free_in(self, now: float) -> float:
        """Return the seconds until it isn't."""
        return max(0.0, self._promised_until - now)

    def delegate(self, word: DelegationOffer, now: float) -> bool:
        """Promise the share to who gave this word; not while it is another's."""
        if not self.is_free(now) and word.granter != self._word.granter:
            return False
        self._word = word
        self._promised_until = max(self._promised_until, now + word.seconds)
        return True

    def promised(self, now: float) -> DelegationOffer | None:
        """Return the word that the share is promised on."""
        return None if self.is_free(now) else self._word

    def released(self, word: DelegationOffer) -> None:
        """Note that who gave this word counts the share no more."""
        if word.granter == self._word.granter:
            self._promised_until = _NEVER

    def own(self, now: float) -> float:
        """Return the share from which this relay admits itself."""
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

    def word(self, seconds: float, now: float) -> DelegationOffer:
        """Return the word on which a relay may delegate its share."""
        return DelegationOffer(self.granter, now + seconds * (1.0 - _DRIFT), seconds)

    def forget_before(self, node: str, incarnation: str) -> None:
        """Forget the share of a relay's process before, whose promise is gone too."""
        known = self._shares.get(node)
        if known is not None and known.incarnation != incarnation:
            del self._shares[node]

    def heard(
        self,
        node: str,
        incarnation: str,
        weight: float,
        word: DelegationOffer,
        now: float,
    ) -> None:
        """Take a relay's share, if it promised it on a word that was given here."""
        self.forget_before(node, incarnation)
        self._shares = {n: t for n, t in self._shares.items() if now < t.until}
        if word.granter == self.granter and now < word.until:
            self._shares[node] = _Delegated(incarnation, weight, word.until)

    def take(self, node: str, incarnation: str, until: float) -> None:
        """Count a share that its relay was told nothing of since it started."""
        self._shares[node] = _Delegated(incarnation, 0.0, until)

    def share_of(self, node: str, incarnation: str, now: float) -> float:
        """Return what is delegated by one relay's process."""
        told = self._shares.get(node)
        if told is None or told.incarnation != incarnation or now >= told.until:
            return 0.0
        return told.weight

    def release(self, node: str, incarnation: str) -> None:
        """Count a share no more."""
        told = self._shares.get(node)
        if told is not None and told.incarnation == incarnation:
            del self._shares[node]

    def nodes(self, now: float) -> set[str]:
        """Return whose shares are delegated."""
        return {node for node, told in self._shares.items() if now < told.until}

    def share(self, now: float) -> float:
        """Return how much is delegated, as the relays told it."""
        return sum(told.weight for told in self._shares.values() if now < told.until)
