"""Decodes for how long servers say that they are cold."""

import structlog

from lagoonflow.http1.messages import Headers

COLD_HEADER = b'cold-ms'
# Longer cold times are taken for this long.
MAX_COLD_MS = 600_000
# Malformed values are logged up to this length.
MAX_LOGGED_TEXT = 40
_LOG = structlog.get_logger(part='servers')


def parse_cold_time(headers: Headers) -> float | None:
    """Return for how long a server says that it is cold, in ms.

    Of several values the longest counts.
    """
    times_ms = [
        parse_cold_ms(text.decode('latin-1'))
        for name, text in headers
        if name.lower() == COLD_HEADER
    ]
    return max((one for one in times_ms if one is not None), default=None)


def parse_cold_ms(text: str) -> float | None:
    """Parse a cold time in ms.

    Malformed, negative and infinite ones are logged and ignored.
    """
    try:
        cold_ms = float(text)
    except ValueError:
        cold_ms = float('inf')
    if 0 <= cold_ms < float('inf'):
        return min(cold_ms, MAX_COLD_MS)
    _LOG.warning('cold time not readable', value=text[:MAX_LOGGED_TEXT])
    return None
