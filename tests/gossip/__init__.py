"""Tests of lagoonflow.gossip."""
