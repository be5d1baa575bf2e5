"""Tests of lagoonflow."""
