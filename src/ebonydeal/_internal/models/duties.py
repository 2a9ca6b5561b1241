"""Answers to the calls that one node makes for all."""

from typing import NamedTuple


class DutyReply(NamedTuple):
    """What the platform said of a call of a duty.

    ``conflict`` means a newer holder, or that nothing is to be had there.
    """

    accepted: bool
    conflict: bool
    detail: str
