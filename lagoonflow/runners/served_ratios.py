"""Share of its requests that each organisation got served on a runner."""

_DECAY = 0.99


class ServedRatios:
    """Ratio of served to all requests by organisation.

    Older requests count less.
    """

    def __init__(self) -> None:
        self._offered: dict[str, float] = {}
        self._served: dict[str, float] = {}

    def record(self, organisation: str, *, is_served: bool) -> None:
        """Record whether one request was served."""
        offered = self._offered.get(organisation, 0)
        served = self._served.get(organisation, 0)
        self._offered[organisation] = offered * _DECAY + 1
        self._served[organisation] = served * _DECAY + int(is_served)

    def ratio(self, organisation: str) -> float:
        """Ratio for an organisation; 1 before its first request."""
        offered = self._offered.get(organisation, 0)
        if not offered:
            return 1
        return self._served[organisation] / offered
