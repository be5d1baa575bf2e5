"""Backend servers: which exist, which models they hold, their load."""
