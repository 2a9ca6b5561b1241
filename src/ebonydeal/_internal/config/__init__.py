"""Configuration documents: validation, commit and spread to all processes."""
