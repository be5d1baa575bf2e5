"""The command-line programs, their settings and their entry points."""
