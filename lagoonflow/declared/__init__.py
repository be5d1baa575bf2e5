"""The declared state: the configuration that operators put in force."""
