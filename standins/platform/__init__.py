"""Stand-ins for the users' platform: metadata store and model runner."""
