"""What answers are counted as while a roll-out runs.

Each answer falls into one category: it failed, or it took so many times what was
expected of it. Categories of time are half octaves, so that "twice as slow" is a shift
by two of them at whatever speed, and counts of many relays can simply be added.
"""

from math import floor, log2

FAILED = 0
# Half octaves from 1/32 of what is expected to 32 times as much.
_LOWEST = -10
_HIGHEST = 9
CATEGORIES = 1 + _HIGHEST - _LOWEST + 1

Counts = list[int]


def empty() -> Counts:
    """Return counts of nothing."""
    return [0] * CATEGORIES


def category_of(seconds: float, expected: float) -> int:
    """Return the category of an answer that took ``seconds``."""
    if seconds <= 0.0 or expected <= 0.0:
        return 1
    half_octaves = floor(2.0 * log2(seconds / expected))
    return 1 + min(_HIGHEST, max(_LOWEST, half_octaves)) - _LOWEST


def added(one: Counts, two: Counts) -> Counts:
    """Return the sum of two counts."""
    return [a + b for a, b in zip(one, two, strict=True)]


def less(one: Counts, two: Counts) -> Counts:
    """Return what ``one`` has more than ``two``; nothing is below zero."""
    return [max(0, a - b) for a, b in zip(one, two, strict=True)]
