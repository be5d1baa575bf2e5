"""When refused callers should return.

The load: many callers are refused until the same model is loaded. If all of
them returned when it is ready, they would arrive as one burst.
"""

import xxhash

# Callers return within this share of the predicted wait after its end, which
# also allows for loads that take longer than predicted.
SPREAD_SHARE = 0.1
MAX_SPREAD_MS = 3000


def spread_return_ms(ready_in_ms: float, request_id: str) -> int:
    """Return the time after which a caller should return, in ms.

    It depends on the request's id, so that callers spread evenly.
    """
    digest = xxhash.xxh3_64_intdigest(request_id.encode())
    window_ms = min(ready_in_ms * SPREAD_SHARE, MAX_SPREAD_MS)
    return int(ready_in_ms + digest % 1000 / 1000 * window_ms)
