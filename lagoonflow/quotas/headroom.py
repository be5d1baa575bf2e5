"""Least headroom of a bucket since each outstanding charge."""

import bisect


class HeadroomHistory:
    """Bounds what a later refund may add without passing the cap.

    The least headroom since a charge never falls with later charges, so
    that charges with the same least headroom share one entry, and one
    observation costs amortised constant time.
    """

    def __init__(self) -> None:
        """Start without charges."""
        self._last_id = 0
        self._outstanding: dict[int, None] = {}
        self._starts: list[int] = []
        self._least_tokens: list[float] = []
        self._lowered_tokens: float = 0

    def open(self, headroom_tokens: float) -> int:
        """Start to remember; returns a ticket for ``close``."""
        self.observe(headroom_tokens)
        self._last_id += 1
        self._outstanding[self._last_id] = None
        self._starts.append(self._last_id)
        self._least_tokens.append(headroom_tokens + self._lowered_tokens)
        return self._last_id

    def observe(self, headroom_tokens: float) -> None:
        """Take the present headroom into account for all charges."""
        shifted_tokens = headroom_tokens + self._lowered_tokens
        start = None
        while self._least_tokens and self._least_tokens[-1] >= shifted_tokens:
            self._least_tokens.pop()
            start = self._starts.pop()
        if start is not None:
            self._starts.append(start)
            self._least_tokens.append(shifted_tokens)

    def minimum(self, headroom_id: int) -> float:
        """Least headroom since a ticket was opened, in tokens."""
        position = bisect.bisect_right(self._starts, headroom_id) - 1
        least_tokens = self._least_tokens[position] - self._lowered_tokens
        return max(least_tokens, 0)

    def close(self, headroom_id: int) -> None:
        """Forget a ticket."""
        self._outstanding.pop(headroom_id)
        self._prune()

    def lower(self, refund_tokens: float) -> None:
        """Lower the headroom of all outstanding charges by a refund."""
        self._lowered_tokens += refund_tokens

    def _prune(self) -> None:
        oldest = next(iter(self._outstanding), None)
        if oldest is None:
            self._starts.clear()
            self._least_tokens.clear()
            self._lowered_tokens = 0
            return
        unused = bisect.bisect_right(self._starts, oldest) - 1
        if unused > 0:
            self._starts = self._starts[unused:]
            self._least_tokens = self._least_tokens[unused:]
