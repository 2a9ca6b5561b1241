"""Benchmark of spend, deadlines and recovery: ``ebonydeal bench spend``."""
