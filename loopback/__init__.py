"""Starts stand-ins and programs on loopback for demo, benchmarks, tests."""
