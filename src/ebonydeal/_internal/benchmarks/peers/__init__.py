"""Bytes, processor time and spread of peer rounds against the size."""
