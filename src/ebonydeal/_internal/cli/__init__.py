"""Entry points, one module a program."""
