"""Soak test: real relay processes, simulated endpoints and platform, random faults."""
