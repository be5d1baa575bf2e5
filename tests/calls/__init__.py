"""Tests of lagoonflow.calls."""
