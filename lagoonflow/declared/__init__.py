"""The declared state: what operators have put in force."""
