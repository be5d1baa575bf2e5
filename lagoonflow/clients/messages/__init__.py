"""Requests to the platform and their results; errors are values."""
