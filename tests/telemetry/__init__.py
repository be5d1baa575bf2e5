"""Tests of lagoonflow.telemetry."""
