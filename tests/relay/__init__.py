"""Tests of lagoonflow.relay."""
