"""Regression runs of the soak test."""
