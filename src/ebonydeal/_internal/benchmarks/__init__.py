"""Measured comparisons behind ``ebonydeal bench``."""
