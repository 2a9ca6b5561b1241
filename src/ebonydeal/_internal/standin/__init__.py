"""Simulated outside systems with fault injection."""
