"""Endpoints that ended under requests: seen, told, kept, and acted on.

Called when a connection to an endpoint breaks and when another relay tells; keeps
what is known beside the lease.
"""
