"""Benchmark of the gateway's processor time against a plain HTTP proxy."""
