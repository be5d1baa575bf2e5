"""Stand-in for the append-only log service."""
