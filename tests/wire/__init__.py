"""Tests of lagoonflow.wire."""
