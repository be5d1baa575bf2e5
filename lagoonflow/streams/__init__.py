"""Agreed streams of the log service: following, appending, checkpoints."""
