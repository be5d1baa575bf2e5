"""Decides which share of the limits this router may use, and from when."""

from collections.abc import Iterable

from lagoonflow.quotas.actions import SendRosterAck
from lagoonflow.quotas.messages import RosterAck
from lagoonflow.roster.messages import Role
from lagoonflow.roster.state import Membership
from lagoonflow.streams.messages import Versions

ACK_RETRY_MS = 1000


class ShareGate:
    """Keeps the sum of all routers' shares at 1 or below.

    A router that joins has a share of 0 until each router that joined
    before it either has acknowledged a roster version which includes it or
    is no longer a member. It then waits for ``activation_delay_ms``: until
    then, peers may still spend tokens that were lent from an older, larger
    share or by an earlier process of the same name.

    :param name: name of this router in the roster.
    :param nonce: nonce of this process in the roster.
    :param activation_delay_ms: how long lenders reserve capacity for lent
        tokens.
    """

    def __init__(
        self, name: str, nonce: str, activation_delay_ms: float
    ) -> None:
        """Start with a share of 0, not in the roster."""
        self._name = name
        self._nonce = nonce
        self._activation_delay_ms = activation_delay_ms
        self._version = 0
        self._routers: tuple[Membership, ...] = ()
        self._acked_versions: dict[tuple[str, str], int] = {}
        self._joined_version: int | None = None
        self._active_from_ms: float | None = None
        self._delivered_acks: set[tuple[str, str, int]] = set()
        self._next_ack_ms: float = 0
        self._ack_recipients: list[Membership] = []

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the other routers, in the order in which they joined."""
        return tuple(
            router.member.name
            for router in self._routers
            if router.member.name != self._name
        )

    @property
    def share_per_router(self) -> float:
        """Equal share of each router in the roster, from 0 to 1."""
        return 1 / len(self._routers) if self._routers else 0

    def on_roster(
        self, now_ms: float, memberships: Iterable[Membership], version: int
    ) -> None:
        """Apply a roster version; versions older than the last are ignored.

        :param memberships: all members, of any role.
        """
        if version < self._version:
            return
        self._version = version
        self._routers = tuple(
            entry for entry in memberships if entry.member.role is Role.ROUTER
        )
        self._next_ack_ms = now_ms
        joined_version = self._find_own_join()
        if joined_version != self._joined_version:
            self._joined_version = joined_version
            self._active_from_ms = None
        self._forget_departed()
        self._ack_recipients = self._find_ack_recipients()
        self._try_activate(now_ms)

    def on_ack(self, now_ms: float, ack: RosterAck) -> None:
        """Record the roster version that a peer computes its share by."""
        sender = (ack.sender, ack.sender_nonce)
        version = max(ack.versions.roster, self._acked_versions.get(sender, 0))
        self._acked_versions[sender] = version
        self._try_activate(now_ms)

    def share(self, now_ms: float) -> float:
        """Return this router's share of the limits, from 0 to 1."""
        if self._active_from_ms is None or now_ms < self._active_from_ms:
            return 0
        return self.share_per_router

    def pending_acks(
        self, now_ms: float, versions: Versions
    ) -> list[SendRosterAck]:
        """Return the acknowledgements to send now.

        They go to the routers that joined after this one, and are repeated
        until they have been delivered.
        """
        if now_ms < self._next_ack_ms:
            return []
        self._next_ack_ms = now_ms + ACK_RETRY_MS
        ack = RosterAck(self._name, self._nonce, versions)
        return [
            SendRosterAck(router.member.name, ack)
            for router in self._ack_recipients
        ]

    def on_ack_delivered(self, peer: str, version: int) -> None:
        """Record that a peer has received an acknowledgement.

        :param version: roster version that was acknowledged.
        """
        for router in self._ack_recipients:
            if router.member.name == peer and router.joined_version <= version:
                self._delivered_acks.add(_join_key(router))
        self._ack_recipients = self._find_ack_recipients()

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Return when the share becomes active or acknowledgements are due."""
        times_ms = []
        if self._active_from_ms is not None and self._active_from_ms > now_ms:
            times_ms.append(self._active_from_ms)
        if self._ack_recipients:
            times_ms.append(self._next_ack_ms)
        return min(times_ms, default=None)

    def _find_own_join(self) -> int | None:
        for router in self._routers:
            member = router.member
            if (member.name, member.nonce) == (self._name, self._nonce):
                return router.joined_version
        return None

    def _try_activate(self, now_ms: float) -> None:
        if self._joined_version is None or self._active_from_ms is not None:
            return
        if all(map(self._has_acked, self._earlier_routers())):
            self._active_from_ms = now_ms + self._activation_delay_ms

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

    def _find_ack_recipients(self) -> list[Membership]:
        if self._joined_version is None:
            return []
        return [
            router
            for router in self._routers
            if router.joined_version > self._joined_version
            and _join_key(router) not in self._delivered_acks
        ]

    def _forget_departed(self) -> None:
        self._delivered_acks &= set(map(_join_key, self._routers))
        members = {
            (name, nonce) for name, nonce, _ in map(_join_key, self._routers)
        }
        # Versions ahead of the last one read are kept: they may come from
        # routers whose joining hasn't been read yet.
        self._acked_versions = {
            sender: version
            for sender, version in self._acked_versions.items()
            if sender in members or version > self._version
        }


def _join_key(router: Membership) -> tuple[str, str, int]:
    return (router.member.name, router.member.nonce, router.joined_version)
