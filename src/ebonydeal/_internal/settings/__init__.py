"""Settings: one INI file with typed sections; all mistakes are reported together."""
