"""Scaffolding of the tests: processes, callers, relays, steps."""
