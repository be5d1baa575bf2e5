"""Tests of lagoonflow.streams."""
