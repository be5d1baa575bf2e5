"""Tests of lagoonflow.platform."""
