"""Decides which agents load and serve each model.

The home of a model collects bids from agents, decides which agent loads a
replica, and tells routers where the replicas are.
"""
