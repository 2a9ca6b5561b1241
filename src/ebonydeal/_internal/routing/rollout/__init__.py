"""Whether a new version of a service is good, and which requests it gets meanwhile.

An operator orders that a service's traffic moves to another version, which may be bad:
at once, later, under load or on one route. The coordinator calls `rollout_state`
several times a second with the reports of relays; each relay calls `traffic_split` for
each request of a service with an order. Both change their own state only.
"""
