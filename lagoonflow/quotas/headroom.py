"""Tracks the least headroom of a bucket since each outstanding charge."""

import bisect


class HeadroomHistory:
    """Least headroom since each outstanding charge, as limit of its refund.

    Headroom is the room under the bucket's cap. A loan that may still be
    returned is tracked like a charge, its return like a refund. The least
    headroom since a later charge is at least that since an earlier one.
    Neighbouring charges with the same value therefore share one entry, and an
    observation costs amortised constant time.
    """

    def __init__(self) -> None:
        """Create a history without charges."""
        self._last_id = 0
        self._outstanding: dict[int, None] = {}
        self._starts: list[int] = []
        self._least_tokens: list[float] = []
        self._lowered_tokens: float = 0

    def open(self, headroom_tokens: float) -> int:
        """Start to track the headroom for a new charge.

        :returns: id to pass to ``minimum`` and ``close``.
        """
        self.observe(headroom_tokens)
        self._last_id += 1
        self._outstanding[self._last_id] = None
        self._starts.append(self._last_id)
        self._least_tokens.append(headroom_tokens + self._lowered_tokens)
        return self._last_id

    def observe(self, headroom_tokens: float) -> None:
        """Record the current headroom for all outstanding charges."""
        shifted_tokens = headroom_tokens + self._lowered_tokens
        start = None
        while self._least_tokens and self._least_tokens[-1] >= shifted_tokens:
            self._least_tokens.pop()
            start = self._starts.pop()
        if start is not None:
            self._starts.append(start)
            self._least_tokens.append(shifted_tokens)

    def minimum(self, headroom_id: int) -> float:
        """Return the least headroom since ``open``, in tokens; at least 0."""
        position = bisect.bisect_right(self._starts, headroom_id) - 1
        least_tokens = self._least_tokens[position] - self._lowered_tokens
        return max(least_tokens, 0)

    def close(self, headroom_id: int) -> None:
        """Stop tracking the headroom for a charge."""
        self._outstanding.pop(headroom_id)
        self._prune()

    def lower(self, refund_tokens: float) -> None:
        """Subtract a refund from the least headroom of all charges.

        The tokens of the refund take up room that other refunds could
        otherwise use as well.
        """
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
