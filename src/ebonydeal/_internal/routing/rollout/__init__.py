"""Whether a new version of a service is good, and how many requests it gets until then.

Event: an operator orders that a service's traffic moves to another version, which may
be bad: at once, later, under load or on one route. The coordinator calls `course`
several times a second with what relays told; each relay calls `split` for each request
of a service with an order. Touches its own state only.
"""
