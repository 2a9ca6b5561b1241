"""Bounds on what clients can make a process hold.

Clients aren't under anybody's control: they send requests ahead, heads and bodies
without end, or read no answers. The listeners of the relay and the gateway count what
each connection holds, and one budget bounds the sum.
"""
