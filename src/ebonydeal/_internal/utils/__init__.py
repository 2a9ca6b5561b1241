"""Small helpers with no knowledge of the product."""
