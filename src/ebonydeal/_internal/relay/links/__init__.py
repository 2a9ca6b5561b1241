"""Links from this relay to endpoints, and sends through others when they are down.

Answers the loss of a relay's links to some or all endpoints while clients and other
relays still reach it. Called by `requests`; it may open connections to endpoints and
call other relays.
"""
