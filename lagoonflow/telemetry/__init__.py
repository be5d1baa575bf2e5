"""Structured logs, metrics, the time line of events and their endpoints."""
