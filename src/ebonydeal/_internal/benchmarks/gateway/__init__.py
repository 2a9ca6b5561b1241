"""Processor time of the gateway against a plain relay."""
