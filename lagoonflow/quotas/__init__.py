"""Token quotas of organisations, enforced over all routers.

Routers over gRPC divide the limits into shares and lend each other tokens
(``state``, ``task``). Routers on the users' platform exchange reports of their
charges instead (``fleet_rate_limiter``).
"""
