"""Callers' connections: admission, forwarding, streams, retries."""
