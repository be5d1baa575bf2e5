"""Prompt parts that crash backend servers, as the fleet has observed."""
