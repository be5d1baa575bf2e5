"""An agent's decisions: which models and adapters its runner holds."""
