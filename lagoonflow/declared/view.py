"""The declared state that a process has read, and its freshness."""

import dataclasses

import xxhash

from lagoonflow.clock import boottime_ms
from lagoonflow.declared.messages import (
    CallerLimits,
    DeclaredState,
    Organisation,
    Route,
)

_HASH_RANGE = 100_000_000
# A newer version that another router has counts for so long after that router
# was last heard, in ms.
KNOWN_ELSEWHERE_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class _NewerVersion:
    """A newer version than that in force, which another router has.

    :param since_ms: boot time since which it has been there at least.
    :param heard_at_ms: boot time of the last message that told of it.
    """

    version: int
    since_ms: float
    heard_at_ms: float


class DeclaredView:
    """Provides lookups in the newest declared state and its freshness.

    :ivar confirmed_at_ms: latest time at which the state is known to have
        been the newest one, on a clock that counts suspended time.
    :ivar applied_at_ms: boot time at which the state was put in force.
    """

    def __init__(self) -> None:
        """Start without a state."""
        self.state: DeclaredState | None = None
        self.confirmed_at_ms = float('-inf')
        self.applied_at_ms = float('-inf')
        self._newer: _NewerVersion | None = None
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
        self.applied_at_ms = boottime_ms()
        if self._newer is not None and self._newer.version <= state.version:
            self._newer = None
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
        """Record that the state was the newest one at a time.

        It wasn't from the time on since which another router has a newer one,
        which the metadata store may have lost.
        """
        if self._newer is not None:
            at_ms = min(at_ms, self._newer.since_ms)
        self.confirmed_at_ms = max(self.confirmed_at_ms, at_ms)

    def note_version_elsewhere(
        self, version: int, since_ms: float, now_ms: float
    ) -> None:
        """Record which version another router has.

        :param since_ms: boot time since which it has it.
        """
        newer = self._newer
        if newer is not None and (
            now_ms - newer.heard_at_ms > KNOWN_ELSEWHERE_MS
        ):
            newer = None
        self._newer = newer
        if version <= self.version or (
            newer is not None and version < newer.version
        ):
            return
        if newer is not None and version == newer.version:
            since_ms = min(since_ms, newer.since_ms)
        self._newer = _NewerVersion(version, since_ms, now_ms)
        self.confirmed_at_ms = min(self.confirmed_at_ms, since_ms)

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
