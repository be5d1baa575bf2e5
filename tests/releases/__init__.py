"""Tests of lagoonflow.releases."""
