"""Whether a failed send is followed by another, and when.

The gateway and the relay call it after each send that failed. It changes only its own
budgets.
"""
