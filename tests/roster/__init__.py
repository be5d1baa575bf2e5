"""Tests of lagoonflow.roster."""
