"""One request's way: read, choose, send, answer, account.

Called by the listener for each request; owns the connections to endpoints. Knows
nothing of the duties.
"""
