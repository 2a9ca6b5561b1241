"""Discovery of the endpoints that a process routes to."""
