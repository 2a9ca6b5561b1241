"""Routing decisions driven against a small engine model and seeded traces."""
