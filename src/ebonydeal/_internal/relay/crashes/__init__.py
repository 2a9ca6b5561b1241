"""Crashes of endpoints on a relay: detected, reported, persisted, and acted on.

Called when a connection to an endpoint breaks, and when another relay reports a crash.
What is known is persisted with the coordinator's lease.
"""
