"""The HTTP front for callers."""
