"""Client connections: admission, forwarding, streaming, retries."""
