"""Limits of client accounts, enforced as totals over all processes.

Load: an account that exceeds its limit, unevenly over processes. Called for each
request, and by the coordinator for grants; works on its own state only.
"""
