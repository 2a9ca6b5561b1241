"""Instances under endpoints: capacity, placement, orders, spend."""
