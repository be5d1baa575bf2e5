"""Tests of lagoonflow.wiring."""
