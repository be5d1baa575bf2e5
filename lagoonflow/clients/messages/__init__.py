"""Requests of the clients and their results; errors are values."""
