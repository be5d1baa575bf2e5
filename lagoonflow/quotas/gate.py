"""Decides which part of the limits this router may use."""

from collections.abc import Iterable

from lagoonflow.quotas.actions import SendRosterAck
from lagoonflow.quotas.messages import RosterAck
from lagoonflow.roster.messages import Role
from lagoonflow.roster.state import Membership
from lagoonflow.streams.messages import Versions

ACK_RETRY_MS = 1000


class ShareGate:
    """Keeps the sum of all routers' shares at 1 or below.

    A router that joins has no share until all routers that joined before
    it use a roster which includes it, or are no longer members. It then
    waits for ``settle_ms``, in which tokens lent under an older and larger
    share, or by a predecessor of its name, are spent or dropped.

    :param settle_ms: how long lent tokens keep their place, in ms.
    """

    def __init__(self, name: str, nonce: str, settle_ms: float) -> None:
        """Start outside the roster."""
        self._name = name
        self._nonce = nonce
        self._settle_ms = settle_ms
        self._version = 0
        self._routers: tuple[Membership, ...] = ()
        self._acked_versions: dict[tuple[str, str], int] = {}
        self._joined_version: int | None = None
        self._opens_ms: float | None = None
        self._delivered: set[tuple[str, str, int]] = set()
        self._acks_due_ms: float = 0
        self._unacked: list[Membership] = []

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the other routers, in the order of joining."""
        return tuple(
            router.member.name
            for router in self._routers
            if router.member.name != self._name
        )

    @property
    def share_per_router(self) -> float:
        """Part of the limits that each member has, from 0 to 1."""
        return 1 / len(self._routers) if self._routers else 0

    def on_roster(
        self, now_ms: float, memberships: Iterable[Membership], version: int
    ) -> None:
        """Adopt a roster version; older ones are ignored."""
        if version < self._version:
            return
        self._version = version
        self._routers = tuple(
            entry for entry in memberships if entry.member.role is Role.ROUTER
        )
        self._acks_due_ms = now_ms
        joined_version = self._find_own_join()
        if joined_version != self._joined_version:
            self._joined_version = joined_version
            self._opens_ms = None
        self._forget_departed()
        self._unacked = self._find_unacked()
        self._try_open(now_ms)

    def on_ack(self, now_ms: float, ack: RosterAck) -> None:
        """Note which roster version a peer has adopted."""
        sender = (ack.sender, ack.sender_nonce)
        version = max(ack.versions.roster, self._acked_versions.get(sender, 0))
        self._acked_versions[sender] = version
        self._try_open(now_ms)

    def share(self, now_ms: float) -> float:
        """Part of the limits that this router may use, from 0 to 1."""
        if self._opens_ms is None or now_ms < self._opens_ms:
            return 0
        return self.share_per_router

    def pending_acks(
        self, now_ms: float, versions: Versions
    ) -> list[SendRosterAck]:
        """Acknowledgements to routers that joined after this one."""
        if now_ms < self._acks_due_ms:
            return []
        self._acks_due_ms = now_ms + ACK_RETRY_MS
        ack = RosterAck(self._name, self._nonce, versions)
        return [
            SendRosterAck(router.member.name, ack) for router in self._unacked
        ]

    def on_ack_delivered(self, peer: str, version: int) -> None:
        """Note that a peer has answered an acknowledgement."""
        for router in self._unacked:
            if router.member.name == peer and router.joined_version <= version:
                self._delivered.add(_key(router))
        self._unacked = self._find_unacked()

    def next_wake_ms(self, now_ms: float) -> float | None:
        """When the share or an acknowledgement is due next."""
        times_ms = []
        if self._opens_ms is not None and self._opens_ms > now_ms:
            times_ms.append(self._opens_ms)
        if self._unacked:
            times_ms.append(self._acks_due_ms)
        return min(times_ms, default=None)

    def _find_own_join(self) -> int | None:
        for router in self._routers:
            member = router.member
            if (member.name, member.nonce) == (self._name, self._nonce):
                return router.joined_version
        return None

    def _try_open(self, now_ms: float) -> None:
        if self._joined_version is None or self._opens_ms is not None:
            return
        if all(map(self._has_acked, self._earlier_routers())):
            self._opens_ms = now_ms + self._settle_ms

    def _earlier_routers(self) -> list[Membership]:
        joined_version = self._joined_version or 0
        return [
            router
            for router in self._routers
            if router.joined_version < joined_version
        ]

    def _has_acked(self, router: Membership) -> bool:
        sender = (router.member.name, router.member.nonce)
        joined_version = self._joined_version or 0
        return self._acked_versions.get(sender, 0) >= joined_version

    def _find_unacked(self) -> list[Membership]:
        if self._joined_version is None:
            return []
        return [
            router
            for router in self._routers
            if router.joined_version > self._joined_version
            and _key(router) not in self._delivered
        ]

    def _forget_departed(self) -> None:
        self._delivered &= set(map(_key, self._routers))
        members = {(name, nonce) for name, nonce, _ in map(_key, self._routers)}
        # A version ahead of the own one may come from a router that joins
        # in a record which has not been read yet.
        self._acked_versions = {
            sender: version
            for sender, version in self._acked_versions.items()
            if sender in members or version > self._version
        }


def _key(router: Membership) -> tuple[str, str, int]:
    return (router.member.name, router.member.nonce, router.joined_version)
