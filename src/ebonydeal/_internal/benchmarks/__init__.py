"""Measured rounds that ship with the command line."""
