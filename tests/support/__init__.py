"""Support for tests: steps, background callers, test servers."""
