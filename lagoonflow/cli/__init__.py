"""Command-line programs: declarations, settings and entry points."""
