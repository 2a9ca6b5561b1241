"""Entry points, one module per program."""
