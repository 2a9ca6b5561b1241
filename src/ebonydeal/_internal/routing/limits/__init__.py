"""Limits of client accounts, held in total over all processes.

Load: an account that asks for more than its limit, spread unevenly. Called at each
request, and by the coordinator for grants; touches its own balances only.
"""
