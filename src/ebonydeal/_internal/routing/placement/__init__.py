"""Which route a request is on, and which endpoint takes it.

Load: every request, at every send; endpoints that are full, slow, far or failing.
Called by the gateway's router and the relay's chooser; touches its own view of load.
"""
