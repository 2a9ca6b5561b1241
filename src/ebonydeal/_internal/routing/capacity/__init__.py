"""Learned capacity and speed of endpoints."""
