"""Reclaim decisions against a small engine model and baselines."""
