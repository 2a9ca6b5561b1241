"""Settings: one INI file, typed sections, every mistake reported at once."""
