"""Typed values shared by all programs."""
