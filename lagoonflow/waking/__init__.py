"""Decides which models and adapters an agent's runner loads and unloads."""
