"""What a process knows of the declared state, and since when it is proved."""

import xxhash

from lagoonflow.declared.messages import (
    CallerLimits,
    DeclaredState,
    Organisation,
    Route,
)

_HUNDRED_MILLION = 100_000_000


class DeclaredView:
    """The newest declared state, with lookups and the age of its proof.

    :ivar proved_at_ms: latest time at which the state is known to have been
        the newest one, on a clock that counts suspended time.
    """

    def __init__(self) -> None:
        """Start without a state."""
        self.state: DeclaredState | None = None
        self.confirmed_at_ms = float('-inf')
        self._routes: dict[str, list[Route]] = {}
        self._holders: dict[str, Organisation] = {}

    @property
    def version(self) -> int:
        """Version in force; -1 before the first."""
        return -1 if self.state is None else self.state.version

    @property
    def limits(self) -> CallerLimits:
        """Limits in force, or the defaults."""
        return CallerLimits() if self.state is None else self.state.limits

    def apply(self, state: DeclaredState) -> bool:
        """Put a newer state in force; tells whether it is newer."""
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
        self._holders = {
            key: organisation
            for organisation in state.organisations
            for key in organisation.keys
        }
        return True

    def confirm(self, at_ms: float) -> None:
        """Note that the state was the newest one at a time."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, at_ms)

    def age_ms(self, now_ms: float) -> float:
        """Time since the state was last proved to be the newest."""
        return now_ms - self.confirmed_at_ms

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._holders.get(key)


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


def pick_service(route: Route, request_id: str) -> str | None:
    """Return the service for a request, by the weights of the route.

    The choice depends on the request id only, so that repeated decisions
    about one request agree on every host.
    """
    total = sum(max(share.weight, 0) for share in route.shares)
    if total <= 0:
        return None
    point = xxhash.xxh3_64_intdigest(request_id.encode()) % _HUNDRED_MILLION
    left = point * total / _HUNDRED_MILLION
    for share in route.shares:
        left -= max(share.weight, 0)
        if left < 0:
            return share.service
    return None
