"""Tests of lagoonflow.quotas."""
