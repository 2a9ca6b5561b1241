"""What a limit of a client account allows in a window, and how that is shared out.

The sum over all relays has a bound that can be written down. Each relay has one equal
share of every limit, and at any moment at most one relay admits from a share. Whatever
relays are lost, cut off, suspended or started, a window then holds at most the terms of
`QuotaBounds.terms`; each of them but the limit itself is a part of what is tolerated.
"""

from typing import NamedTuple

from ebonydeal._internal.models.forwarding import ForwardAccount

# Parts of what is tolerated beyond a limit.
_DEBT_PART = 0.2
_IN_ADVANCE_PART = 0.1
_STANDBY_PART = 0.42
_STARTUP_PART = 0.17
# Part of a burst that a stand-in has as well: a holder that is lost loses no more.
_STANDBY_BURST = 0.45
_LATE_PART = 0.1
# A new granter begins with the debt that the one before may have left, and grants
# nothing until it is earned.
_DEBT_MOST_S = 3.0


class Term(NamedTuple):
    """A part of what a window may hold, and the constant that bounds it."""

    name: str
    amount: float


class QuotaBounds(NamedTuple):
    """By how much limits may be exceeded, and over which window, seconds."""

    window: float
    overshoot: float
    slack: float

    def limit(self, account: ForwardAccount) -> float:
        """Return what a window holds of an account that has its limit."""
        return account.rate * self.window + account.burst

    def tolerance(self, account: ForwardAccount) -> float:
        """Return by how much a window may exceed that."""
        slack = self.slack if account.in_tokens else 0.0
        return self.overshoot * self.limit(account) + slack

    def debt(self, account: ForwardAccount) -> float:
        """Return the most that may be granted on account of what will be earned."""
        return min(_DEBT_PART * self.tolerance(account), _DEBT_MOST_S * account.rate)

    def in_advance(self, account: ForwardAccount) -> float:
        """Return the most that may lie granted at relays, unused."""
        return _IN_ADVANCE_PART * self.tolerance(account)

    def standby(self, account: ForwardAccount) -> float:
        """Return the most that the stand-in has beside what the burst holds."""
        return _STANDBY_PART * self.tolerance(account)

    def standby_of_burst(self, account: ForwardAccount) -> float:
        """Return the part of the burst that the stand-in may have."""
        return _STANDBY_BURST * account.burst

    def startup(self, account: ForwardAccount) -> float:
        """Return the most that new holders grant before they have shares."""
        return _STARTUP_PART * self.tolerance(account)

    def max_send_delay_s(self, account: ForwardAccount) -> float:
        """Return how long after its admission a request may be sent, seconds."""
        if account.rate <= 0.0:
            return float("inf")
        return _LATE_PART * self.tolerance(account) / account.rate

    def terms(self, account: ForwardAccount) -> list[Term]:
        """Return the most that a window holds, term by term."""
        return [
            Term("rate", account.rate * self.window),
            Term("burst", account.burst),
            Term("debt", self.debt(account)),
            Term("in_advance", self.in_advance(account)),
            Term("standby", self.standby(account)),
            Term("startup", self.startup(account)),
            Term("late", _LATE_PART * self.tolerance(account)),
        ]

    def fits(self, account: ForwardAccount) -> bool:
        """Return whether the terms stay within the limit and what is tolerated."""
        allowed = self.limit(account) + self.tolerance(account)
        return sum(term.amount for term in self.terms(account)) <= allowed
