"""The coordinator's duties for all relays: lease, limits, usage reports, orders.

Called by timers and by other relays' reports; writes the platform's store and calls
its cloud.
"""
