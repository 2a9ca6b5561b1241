"""The path of one request: read it, choose an endpoint, send, answer, count.

Called by the listener for each request; owns the connections to endpoints. Does not
depend on the coordinator's duties.
"""
