"""Capacity model: measured costs by size, and what each role needs at full size."""
