"""Messages between relays: reports to the coordinator, grants, long prompts.

Called by timers and by the listener for other relays; owns the list of relays.
"""
