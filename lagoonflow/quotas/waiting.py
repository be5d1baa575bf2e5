"""Queue of the requests of one organisation that wait for tokens."""

import bisect
import dataclasses
from collections.abc import Iterator


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class WaitingRequest:
    """A waiting request; sorts by deadline, then by arrival.

    :param arrival: sequence number of the request at this router.
    :param cost_tokens: what it will be charged when it is admitted.
    """

    deadline_ms: float
    arrival: int
    request_id: str = dataclasses.field(compare=False)
    cost_tokens: float = dataclasses.field(compare=False)


class WaitingQueue:
    """Waiting requests, earliest deadline first.

    :ivar cost_tokens: cost of all waiting requests together.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.cost_tokens: float = 0
        self._requests: list[WaitingRequest] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate over a snapshot, earliest deadline first."""
        return iter(tuple(self._requests))

    @property
    def head(self) -> WaitingRequest | None:
        """The request with the earliest deadline; ``None`` when empty."""
        return self._requests[0] if self._requests else None

    def add(self, request: WaitingRequest) -> None:
        """Insert a request in the order of deadlines."""
        bisect.insort(self._requests, request)
        self.cost_tokens += request.cost_tokens

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request from the queue."""
        position = bisect.bisect_left(self._requests, request)
        self._requests.pop(position)
        self.cost_tokens -= request.cost_tokens
        if not self._requests:
            self.cost_tokens = 0
