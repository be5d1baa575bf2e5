"""Attempts, streams, resumption and at-most-once claims."""
