"""What relays know once each has heard of all the others' evidence."""

from random import Random


def merge_all(relays, make, now):
    """Return new evidence for each relay, merged from all, in different orders."""
    merged = [make() for _ in relays]
    for number, relay in enumerate(merged):
        order = list(relays)
        Random(number).shuffle(order)
        for other in order:
            relay.merge(other.to_message(now), now)
    return merged
