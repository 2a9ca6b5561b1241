"""Benchmark of gossip: bytes, processor time and spread by number of nodes."""
