"""Web console of operators: configuration forms and status pages."""
