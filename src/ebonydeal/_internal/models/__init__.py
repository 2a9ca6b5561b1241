"""Data types shared by all programs."""
