"""Tests of lagoonflow.runners."""
