"""Whether a request starts now, waits, or is refused with a time to retry.

Load: more requests than endpoints can serve in time. Called for each request before it
is first sent, by the gateway and by the relay; works on its own queues only.
"""
