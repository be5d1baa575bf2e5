"""Pause between a router's statements of its requests in flight."""

# Bytes per second that a router sends, and thus about what it receives, so
# that statements take at most 13 % of the smallest link (5 Mbit/s).
BUDGET_BYTES_PER_S = 80_000
# Headers of a datagram, the fixed fields, and the name of the router.
FIXED_BYTES = 70
# A short id and a count.
ENTRY_BYTES = 6
# Shorter pauses cost more processor time and make the load hardly more even.
MIN_GAP_MS = 20
MS_PER_S = 1000


def statement_gap_ms(routers: int, servers: int) -> float:
    """Return the pause between two statements, in ms.

    :param routers: the other routers, to which each statement is sent.
    :param servers: servers at which this router has requests in flight.
    """
    size_bytes = FIXED_BYTES + ENTRY_BYTES * servers
    gap_ms = routers * size_bytes * MS_PER_S / BUDGET_BYTES_PER_S
    return max(gap_ms, MIN_GAP_MS)
