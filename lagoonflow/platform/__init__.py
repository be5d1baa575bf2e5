"""Clients of the platform: log, host list, weight store, engine."""
