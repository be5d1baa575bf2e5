"""Key digests, authentication and withdrawal."""
