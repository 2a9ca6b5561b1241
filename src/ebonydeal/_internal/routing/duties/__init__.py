"""What one relay does for all: its lease, its pace, the usage that it adds up.

Event: a holder that dies, pauses or is cut off; windows of usage that end. Called by
the coordinator; touches its own state only.
"""
