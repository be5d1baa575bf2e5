"""Tests of lagoonflow.retries."""
