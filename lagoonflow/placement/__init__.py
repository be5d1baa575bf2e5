"""Homes of models: bids, decisions and replica counts."""
