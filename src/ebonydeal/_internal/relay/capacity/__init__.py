"""Exchange of what relays learn of endpoints' capacity and speed."""
