"""Controls the instances of endpoints: capacity, placement, orders and spend."""
