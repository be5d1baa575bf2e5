"""HTTP frontend of a router: the endpoints that callers use."""
