"""Request journal: durable storage and execution of accepted requests."""
