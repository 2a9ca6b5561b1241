"""Fault soak: real relays as processes, stand-ins around them, random faults."""
