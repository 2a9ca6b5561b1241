"""Operators' forms and status pages."""
