"""Configuration documents: validation, commit, following."""
