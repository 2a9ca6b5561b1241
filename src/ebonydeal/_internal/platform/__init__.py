"""Adapter of the users' platform: names, formats and calls, without decisions."""
