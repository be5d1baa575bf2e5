"""Membership of routers and agents, and the homes of models."""
