"""Serves rarely used language models from a small fleet."""
