"""Replies to the calls that only the coordinator makes."""

from typing import NamedTuple


class DutyReply(NamedTuple):
    """The platform's reply to a call of a duty.

    ``conflict`` means that there is a newer lease holder, or no capacity in that zone.
    """

    accepted: bool
    conflict: bool
    detail: str
