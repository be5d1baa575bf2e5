"""Measurements with real processes and stand-ins."""
