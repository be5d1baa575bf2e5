"""Backend servers: who is there, what they hold, and how busy they are."""
