"""Shared state from streams of the log service: reading and appending."""
