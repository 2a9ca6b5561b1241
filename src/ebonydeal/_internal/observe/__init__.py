"""Counters, histograms, logs and decision trails."""
