"""Tests of lagoonflow.keys."""
