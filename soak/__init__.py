"""Randomised soak test: checks invariants of real processes under faults."""
