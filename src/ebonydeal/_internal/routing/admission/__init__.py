"""Whether a request starts now, waits, or is refused with the time to repeat.

Load: more requests than endpoints can serve in time. Called for each request before
its first send, by the gateway and by the relay; touches its own queues only.
"""
