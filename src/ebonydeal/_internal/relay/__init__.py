"""The relay: forwarded routes to endpoints, on every instance of the system."""
