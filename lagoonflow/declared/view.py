"""The declared state that a process has read, and its freshness."""

import xxhash

from lagoonflow.declared.messages import (
    CallerLimits,
    DeclaredState,
    Organisation,
    Route,
)

_HASH_RANGE = 100_000_000


class DeclaredView:
    """Provides lookups in the newest declared state and its freshness.

    :ivar confirmed_at_ms: latest time at which the state is known to have
        been the newest one, on a clock that counts suspended time.
    """

    def __init__(self) -> None:
        """Start without a state."""
        self.state: DeclaredState | None = None
        self.confirmed_at_ms = float('-inf')
        self._routes: dict[str, list[Route]] = {}
        self._organisations_by_key: dict[str, Organisation] = {}

    @property
    def version(self) -> int:
        """Version of the state in force; -1 before the first."""
        return -1 if self.state is None else self.state.version

    @property
    def limits(self) -> CallerLimits:
        """Limits in force; the defaults before the first state."""
        return CallerLimits() if self.state is None else self.state.limits

    def apply(self, state: DeclaredState) -> bool:
        """Put a state in force if it is newer; return whether it is."""
        if state.version <= self.version:
            return False
        self.state = state
        self._routes = {}
        for route in sorted(
            state.routes,
            key=_prefix_length,
            reverse=True,
        ):
            self._routes.setdefault(route.host, []).append(route)
        self._organisations_by_key = {
            key: organisation
            for organisation in state.organisations
            for key in organisation.keys
        }
        return True

    def confirm(self, at_ms: float) -> None:
        """Record that the state was the newest one at a time."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, at_ms)

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the state was confirmed as newest, in ms."""
        return now_ms - self.confirmed_at_ms

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that a key belongs to."""
        return self._organisations_by_key.get(key)


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


def pick_service(route: Route, request_id: str) -> str | None:
    """Choose the service for a request by the weights of the route.

    The choice depends only on the route and the request id, so that all hosts
    choose the same service for a request. ``None`` if no share has a weight.
    """
    total = sum(max(share.weight, 0) for share in route.shares)
    if total <= 0:
        return None
    point = xxhash.xxh3_64_intdigest(request_id.encode()) % _HASH_RANGE
    remaining = point * total / _HASH_RANGE
    for share in route.shares:
        remaining -= max(share.weight, 0)
        if remaining < 0:
            return share.service
    return None
