"""Wire format of offered work in reports, and of shares in replies.

A report has for each service the endpoint seconds per second by account; a reply for
each service in shortage ``[default, {account: rate}]``, see `RelayShares`.
"""

from collections.abc import Mapping
from math import isfinite
from typing import NamedTuple, TypedDict

from ebonydeal._internal.routing.admission.service_shares import RelayShares

# Bounds of valid values: no service has a million endpoints, and relays report more
# often than once an hour.
_MAX_WORK = 1e6
_MAX_SECONDS = 3600.0
# Accounts of all services in one message.
_MAX_ENTRIES = 10_000
_DIGITS = 5
# Characters of a wrong value in an error message.
_MAX_SHOWN = 40

OfferedMessage = dict[str, dict[str, float]]


class SharesMessage(TypedDict):
    """A relay's shares; ``fence`` is the coordinator's token, ``seconds`` their TTL."""

    fence: int
    seconds: float
    services: dict[str, list]


class ReceivedShares(NamedTuple):
    """A valid `SharesMessage`."""

    fence: int
    seconds: float
    services: dict[str, RelayShares]


def encode_offered(rates: Mapping[str, Mapping[str, float]]) -> OfferedMessage:
    """Return the JSON representation of offered work."""
    return {
        service: {name: round(work, _DIGITS) for name, work in accounts.items()}
        for service, accounts in rates.items()
    }


def decode_offered(message: object) -> OfferedMessage:
    """Return the offered work of a report; raises ValueError if it is invalid."""
    return {
        service: {name: _number(work) for name, work in _table(accounts).items()}
        for service, accounts in _table(message).items()
    }


def encode_shares(
    fence: int, seconds: float, shares: Mapping[str, RelayShares]
) -> SharesMessage:
    """Return the JSON representation of a relay's shares."""
    services = {
        service: [
            round(of.default, _DIGITS),
            {name: round(rate, _DIGITS) for name, rate in of.rates.items()},
        ]
        for service, of in shares.items()
    }
    return SharesMessage(fence=fence, seconds=seconds, services=services)


def decode_shares(message: object) -> ReceivedShares:
    """Return the shares of a reply; raises ValueError if they are invalid."""
    fields = _table(message)
    fence = fields.get("fence")
    if isinstance(fence, bool) or not isinstance(fence, int) or fence < 0:
        raise ValueError(f"{_shown(fence)} is not a fencing token")
    seconds = _number(fields.get("seconds"), _MAX_SECONDS)
    services = {}
    for service, entry in _table(fields.get("services")).items():
        if not isinstance(entry, list) or len(entry) != 2:
            raise ValueError(f"{_shown(entry)} is not a service's shares")
        rates = {name: _number(rate) for name, rate in _table(entry[1]).items()}
        services[service] = RelayShares(_number(entry[0]), rates)
    return ReceivedShares(fence, seconds, services)


def _table(value: object) -> dict:
    if not isinstance(value, dict) or not all(isinstance(key, str) for key in value):
        raise ValueError(f"{_shown(value)} is not a table")
    if len(value) > _MAX_ENTRIES:
        raise ValueError(f"a table has {len(value)} entries")
    return value


def _number(value: object, maximum: float = _MAX_WORK) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{_shown(value)} is not a number")
    if not isfinite(value) or not 0.0 <= value <= maximum:
        raise ValueError(f"{_shown(value)} is not from 0 to {maximum:g}")
    return float(value)


def _shown(value: object) -> str:
    return repr(value)[:_MAX_SHOWN]
