"""Clients of the stand-ins: log, host list, weight store, engine."""
