"""Tests of lagoonflow.backends."""
