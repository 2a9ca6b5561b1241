"""Slopes of state, messages, processor time and memory, and what they come to."""
