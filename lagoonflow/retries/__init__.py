"""How often requests may be sent again."""
