"""Requests of one organisation that wait for tokens."""

import bisect
import dataclasses
from collections.abc import Iterator


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class WaitingRequest:
    """A request that waits; ordered by deadline, then by arrival.

    :param arrival: increases with every request.
    """

    deadline_ms: float
    arrival: int
    request_id: str = dataclasses.field(compare=False)
    cost_tokens: float = dataclasses.field(compare=False)


class WaitingQueue:
    """Waiting requests, earliest deadline first."""

    def __init__(self) -> None:
        """Start empty."""
        self.cost_tokens: float = 0
        self._requests: list[WaitingRequest] = []

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._requests)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate over a snapshot, earliest deadline first."""
        return iter(tuple(self._requests))

    @property
    def head(self) -> WaitingRequest | None:
        """The request that is served next."""
        return self._requests[0] if self._requests else None

    def add(self, request: WaitingRequest) -> None:
        """Insert a request at its place."""
        bisect.insort(self._requests, request)
        self.cost_tokens += request.cost_tokens

    def remove(self, request: WaitingRequest) -> None:
        """Take a request out of the queue."""
        position = bisect.bisect_left(self._requests, request)
        self._requests.pop(position)
        self.cost_tokens -= request.cost_tokens
        if not self._requests:
            self.cost_tokens = 0
