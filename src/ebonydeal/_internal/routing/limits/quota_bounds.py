"""The maximum that a client account may use in a window, and the terms of that bound.

The sum over all relays is bounded. Each relay has one equal share of every limit, and
at any moment at most one relay grants from a share. Whichever relays are lost,
partitioned, suspended or started, a window therefore holds at most the sum of
`QuotaBounds.terms`. All terms but the limit itself are fractions of the tolerance.
"""

from typing import NamedTuple

from ebonydeal._internal.models.forwarding import ForwardAccount

# Fractions of the tolerance, which is what may be used beyond a limit.
_DEBT_FRACTION = 0.2
_IN_ADVANCE_FRACTION = 0.1
_STANDBY_FRACTION = 0.42
_STARTUP_FRACTION = 0.17
# Fraction of a burst that the standby holds: if the lease holder fails, only the other
# part is lost.
_STANDBY_BURST_FRACTION = 0.45
_LATE_FRACTION = 0.1
# A new granter starts with the debt that its predecessor may have left, and grants
# nothing until that is earned.
_MAX_DEBT_S = 3.0


class Term(NamedTuple):
    """A named summand of the most that a window may hold."""

    name: str
    amount: float


class QuotaBounds(NamedTuple):
    """By how much limits may be exceeded in a window.

    ``window`` is in seconds, ``overshoot`` a fraction of the limit, and ``slack`` an
    amount that only accounts in tokens have.
    """

    window: float
    overshoot: float
    slack: float

    def limit(self, account: ForwardAccount) -> float:
        """Return what an account's limit allows in a window."""
        return account.rate * self.window + account.burst

    def tolerance(self, account: ForwardAccount) -> float:
        """Return by how much a window may exceed the limit."""
        slack = self.slack if account.in_tokens else 0.0
        return self.overshoot * self.limit(account) + slack

    def debt(self, account: ForwardAccount) -> float:
        """Return the most that may be granted before it is earned."""
        return min(_DEBT_FRACTION * self.tolerance(account), _MAX_DEBT_S * account.rate)

    def in_advance(self, account: ForwardAccount) -> float:
        """Return the most that relays may hold granted in advance and unused."""
        return _IN_ADVANCE_FRACTION * self.tolerance(account)

    def standby(self, account: ForwardAccount) -> float:
        """Return the most that the standby holds in addition to its part of a burst."""
        return _STANDBY_FRACTION * self.tolerance(account)

    def standby_burst(self, account: ForwardAccount) -> float:
        """Return the part of the burst that the standby may hold."""
        return _STANDBY_BURST_FRACTION * account.burst

    def startup(self, account: ForwardAccount) -> float:
        """Return the most that new lease holders grant before they have shares."""
        return _STARTUP_FRACTION * self.tolerance(account)

    def max_send_delay_s(self, account: ForwardAccount) -> float:
        """Return how long after its admission a request may be sent, seconds."""
        if account.rate <= 0.0:
            return float("inf")
        return _LATE_FRACTION * self.tolerance(account) / account.rate

    def terms(self, account: ForwardAccount) -> list[Term]:
        """Return the terms whose sum is the most that a window holds."""
        return [
            Term("rate", account.rate * self.window),
            Term("burst", account.burst),
            Term("debt", self.debt(account)),
            Term("in_advance", self.in_advance(account)),
            Term("standby", self.standby(account)),
            Term("startup", self.startup(account)),
            Term("late", _LATE_FRACTION * self.tolerance(account)),
        ]

    def fits(self, account: ForwardAccount) -> bool:
        """Return whether the terms add up to at most the limit plus the tolerance."""
        allowed = self.limit(account) + self.tolerance(account)
        return sum(term.amount for term in self.terms(account)) <= allowed
