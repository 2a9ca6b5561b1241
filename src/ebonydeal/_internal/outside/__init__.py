"""Clients of external systems, behind narrow interfaces."""
