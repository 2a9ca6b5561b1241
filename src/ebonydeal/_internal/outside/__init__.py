"""Clients of the outside systems behind narrow interfaces."""
