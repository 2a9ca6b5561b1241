"""Benchmark of the journal, in one process with in-memory stores."""
