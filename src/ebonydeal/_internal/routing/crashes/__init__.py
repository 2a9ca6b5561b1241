"""Which requests, and parts of prompts, crash endpoints and are quarantined for it.

Called when an endpoint crashed with requests in flight, when another process reports a
crash, and for each request; changes its own memory only.
"""
