"""Categories in which answers are counted while a roll-out runs.

An answer either failed, or falls into a category by the ratio of its time to the
expected time. A category of time is half an octave (a factor of the square root of
two), so that "twice as slow" is a shift by two categories at any speed. Counts of many
relays can simply be added.
"""

from math import floor, log2

FAILED = 0
# Half octaves from 1/32 of the expected time to 32 times as much.
_MIN_HALF_OCTAVES = -10
_MAX_HALF_OCTAVES = 9
CATEGORIES = 1 + _MAX_HALF_OCTAVES - _MIN_HALF_OCTAVES + 1

Counts = list[int]


def empty_counts() -> Counts:
    """Return a count of zero for each category."""
    return [0] * CATEGORIES


def category_of(seconds: float, expected: float) -> int:
    """Return the category of an answer that took ``seconds``."""
    if seconds <= 0.0 or expected <= 0.0:
        return 1
    half_octaves = floor(2.0 * log2(seconds / expected))
    return (
        1
        + min(_MAX_HALF_OCTAVES, max(_MIN_HALF_OCTAVES, half_octaves))
        - _MIN_HALF_OCTAVES
    )


def add_counts(one: Counts, two: Counts) -> Counts:
    """Return the sum by category."""
    return [a + b for a, b in zip(one, two, strict=True)]


def subtract_counts(one: Counts, two: Counts) -> Counts:
    """Return ``one`` less ``two`` by category, not below zero."""
    return [max(0, a - b) for a, b in zip(one, two, strict=True)]
