"""Stand-in for a model engine with simple continuous batching."""
