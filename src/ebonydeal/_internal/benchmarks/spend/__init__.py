"""Spend, deadlines and repair: ``ebonydeal bench spend``."""
