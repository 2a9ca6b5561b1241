"""Whether a failed send is followed by another, and when.

Event: a send without an answer that counts. Called after each failed send, by the
gateway and by the relay; touches its own budgets only.
"""
