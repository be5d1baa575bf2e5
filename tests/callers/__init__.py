"""Tests of lagoonflow.callers."""
