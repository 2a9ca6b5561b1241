"""Prompt parts that requests in flight in several crashes have in common."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ebonydeal._internal.routing.crashes.crash_key import CrashKey
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits

# Different combinations of parts that are told apart.
_MAX_COMBINATIONS = 16


class QuarantinedParts(NamedTuple):
    """Prompt parts under which endpoints crashed.

    Attributes
    ----------
    parts : frozenset of str
        Digests; requests that have all of them are refused.
    accounts : frozenset of str
        Client accounts whose requests are refused; empty for all accounts.
    crashes : frozenset of CrashKey
        The crashes.
    """

    parts: frozenset[str]
    accounts: frozenset[str]
    crashes: frozenset[CrashKey]

    def matches(self, traits: RequestTraits) -> bool:
        """Return whether a request is refused for these parts."""
        return self.parts.issubset(traits.parts) and (
            not self.accounts or traits.account in self.accounts
        )


def common_parts(
    parts: frozenset[str], crashes: Iterable[Sequence[RequestTraits]]
) -> list[frozenset[str]]:
    """Return the largest combinations of parts that a request had in each crash.

    Parameters
    ----------
    parts : frozenset of str
        Parts that were in flight in each of the crashes, in whatever request.
    crashes : iterable
        The requests in flight in each crash.
    """
    found = {parts}
    for in_flight in crashes:
        held = {parts.intersection(traits.parts) for traits in in_flight}
        found = _largest({one & other for one in found for other in held})
    return sorted(found, key=sorted)


def _largest(combinations: set[frozenset[str]]) -> set[frozenset[str]]:
    """Return, up to a bound, the combinations that no other one contains."""
    largest: set[frozenset[str]] = set()
    for one in sorted(combinations, key=lambda one: (-len(one), sorted(one))):
        if one and not any(one < other for other in largest):
            largest.add(one)
        if len(largest) == _MAX_COMBINATIONS:
            break
    return largest


def common_accounts(
    parts: frozenset[str], crashes: Iterable[Sequence[RequestTraits]]
) -> frozenset[str]:
    """Return the accounts that had a request with all parts in each crash.

    Empty if crashes came from several accounts.
    """
    by_crash = (
        frozenset(
            traits.account
            for traits in in_flight
            if traits.account and parts.issubset(traits.parts)
        )
        for in_flight in crashes
    )
    return frozenset.intersection(*by_crash)
