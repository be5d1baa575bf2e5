"""Small stand-ins for the services of the platform and for engines."""
