"""How many endpoints of which kind are ordered in each zone.

Load: traffic that grows and falls, and zones that are taken back in waves. Called by
the coordinator once a period; touches nothing.
"""
