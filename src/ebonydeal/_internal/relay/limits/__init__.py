"""Limits of client accounts at relays: who grants from which share, and who asks whom.

Load: accounts that exceed their limits at all relays, while relays are lost.
"""
