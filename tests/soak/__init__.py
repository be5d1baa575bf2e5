"""Tests with the soak."""
