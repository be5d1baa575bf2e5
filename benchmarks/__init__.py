"""Benchmarks with real processes and stand-ins, or with a virtual clock."""
