"""Share of each organisation's requests that a runner has served."""

_DECAY = 0.99


class ServedRatios:
    """Ratio of served to all requests by organisation.

    Older requests count less.
    """

    def __init__(self) -> None:
        self._requests: dict[str, float] = {}
        self._served: dict[str, float] = {}

    def record(self, organisation: str, *, is_served: bool) -> None:
        """Record whether one request was served."""
        requests = self._requests.get(organisation, 0)
        served = self._served.get(organisation, 0)
        self._requests[organisation] = requests * _DECAY + 1
        self._served[organisation] = served * _DECAY + int(is_served)

    def ratio(self, organisation: str) -> float:
        """Ratio for an organisation; 1 before its first request."""
        requests = self._requests.get(organisation, 0)
        if not requests:
            return 1
        return self._served[organisation] / requests
