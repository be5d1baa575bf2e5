"""Clients of engines, plain services, the log service and the host list."""
