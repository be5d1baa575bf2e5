"""Tests of lagoonflow.declared."""
