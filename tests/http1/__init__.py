"""Tests of lagoonflow.http1."""
