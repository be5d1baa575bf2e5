"""Tests of lagoonflow.clients."""
