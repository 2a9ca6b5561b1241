"""Simulations of the routing decisions with an engine model and seeded traces."""
