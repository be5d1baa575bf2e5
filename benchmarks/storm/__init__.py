"""Benchmark of a request storm after a quiet phase, with real processes."""
