"""Tests of lagoonflow.placement."""
