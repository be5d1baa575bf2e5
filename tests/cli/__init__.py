"""Tests of lagoonflow.cli."""
