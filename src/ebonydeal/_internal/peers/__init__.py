"""Gossip of membership and leaving marks between the system's processes."""
