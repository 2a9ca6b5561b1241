"""Membership and leaving marks between the system's own processes."""
