"""Tests of lagoonflow.waking."""
