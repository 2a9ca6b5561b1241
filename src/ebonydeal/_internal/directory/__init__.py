"""The view of endpoints that a process routes by."""
