"""Serves rarely used language models on a small fleet of runners."""
