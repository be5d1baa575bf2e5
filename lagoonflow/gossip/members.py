"""Tracks the other routers of the fleet, by registration and messages."""

import dataclasses
from collections.abc import Collection

# Time without a message after which a router is taken to have ended, in ms.
# It applies only while this process hears from a majority of the routers;
# otherwise this process may be the one that is cut off.
SILENCE_TIMEOUT_MS = 15_000
# A share that must not be used twice is given to others when its router has been
# silent for this long, in ms: that router stops using it in half this time.
RECLAIM_MS = 2 * SILENCE_TIMEOUT_MS
# After the registrations were read, others learn of this router within this
# time, in ms.
SETTLE_MS = 1000
# A running router registers again within this time of the removal of its
# registration if it reaches the metadata store, in ms.
REGISTER_AGAIN_MS = 5000
# One that doesn't reach the metadata store stops using its share within this
# time if no other bound applies, in ms: others send to it for one timeout, and
# it stops another one after the last message.
UNBOUNDED_USE_MS = RECLAIM_MS + REGISTER_AGAIN_MS - SILENCE_TIMEOUT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class RouterMember:
    """A registered router.

    :param address: address for datagrams, as ``host:port``.
    :param zone: its availability zone; empty when it didn't state one.
    """

    name: str
    address: str
    zone: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ShareGroup:
    """Routers that share something, such that all shares add up to one.

    :param names: the other routers.
    :param valid_from_ms: when this router may use its share; infinite before
        it has read the registrations.
    :param valid_until_ms: when this router's share expires, unless it hears
        from others before.
    """

    names: frozenset[str]
    valid_from_ms: float
    valid_until_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SilentMember:
    """A registered router, and for how long nothing was known of it.

    :param vain_removals: how often it registered again after its registration
        was removed, without a message since.
    """

    name: str
    silent_ms: float
    vain_removals: int


@dataclasses.dataclass(slots=True)
class _KnownRouter:
    member: RouterMember
    registered_at_ms: float
    last_message_at_ms: float = float('-inf')
    has_left: bool = False
    # When the registration was removed; infinite while it stands.
    removed_at_ms: float = float('inf')
    registered_again_at_ms: float = float('-inf')
    vain_removals: int = 0

    @property
    def seen_at_ms(self) -> float:
        """Latest time at which the router is known to have run."""
        return max(self.last_message_at_ms, self.registered_at_ms)

    def is_heard(self, now_ms: float) -> bool:
        """Return whether a message arrived within the timeout."""
        return now_ms - self.last_message_at_ms < SILENCE_TIMEOUT_MS


class Members:
    """Tracks which other routers take part in the fleet.

    :ivar own_name: name of this router.
    :param withdrawal_ms: time after which a router that can't read the metadata
        store admits no limited calls; 0 for no such bound.
    """

    def __init__(self, own_name: str, withdrawal_ms: float = 0) -> None:
        """Start without other routers."""
        self.own_name = own_name
        self._known: dict[str, _KnownRouter] = {}
        self._read_at_ms = float('inf')
        self._use_after_removal_ms = max(
            REGISTER_AGAIN_MS, withdrawal_ms or UNBOUNDED_USE_MS
        )

    def note_read(self, now_ms: float) -> None:
        """Record that registrations were read from the metadata store."""
        self._read_at_ms = min(self._read_at_ms, now_ms)

    def register(self, member: RouterMember, now_ms: float) -> None:
        """Add a router, or replace it if its address has changed."""
        if member.name == self.own_name:
            return
        known = self._known.get(member.name)
        if known is None or known.member.address != member.address:
            self._known[member.name] = _KnownRouter(member, now_ms)
            return
        known.member = member
        known.registered_again_at_ms = now_ms
        known.vain_removals += known.removed_at_ms <= now_ms
        known.removed_at_ms = float('inf')

    def remove(self, name: str, now_ms: float) -> None:
        """Record that the registration of a router was removed.

        The router is forgotten unless it may still be running.
        """
        known = self._known.get(name)
        if known is None:
            return
        known.removed_at_ms = min(known.removed_at_ms, now_ms)
        self._drop_removed(now_ms)

    def retain(self, names: Collection[str], now_ms: float) -> None:
        """Record that all other registrations were removed."""
        for name in self._known.keys() - set(names):
            self.remove(name, now_ms)

    def record_message(
        self,
        name: str,
        now_ms: float,
        *,
        is_leaving: bool,
        address: str = '',
    ) -> None:
        """Record that a router sent a message.

        :param is_leaving: the router says that it is about to stop.
        :param address: where it receives messages; a running router whose
            registration was removed counts again from its first message.
        """
        known = self._known.get(name)
        if known is None and address and name != self.own_name:
            known = _KnownRouter(
                RouterMember(name, address),
                registered_at_ms=now_ms,
                removed_at_ms=now_ms - self._use_after_removal_ms,
            )
            if not is_leaving:
                self._known[name] = known
        if known is not None:
            known.last_message_at_ms = now_ms
            known.has_left = is_leaving
            known.vain_removals = 0

    def address_of(self, name: str) -> str | None:
        """Return the address of a router; ``None`` if it is unknown."""
        known = self._known.get(name)
        return None if known is None else known.member.address

    def present(self, now_ms: float) -> list[RouterMember]:
        """Return the other routers that are taken to be running.

        Silent routers are left out after a timeout, but only while this router
        hears from a majority. On the minority side of a network partition it
        can't tell whether they have ended, so all of them are returned.
        Routers that said they were stopping are always left out.
        """
        has_majority = self.hears_majority(now_ms)
        # One whose registration was removed stops using its share a while
        # after the last message to it.
        present = [
            known
            for known in self._counted(now_ms)
            if now_ms - known.seen_at_ms < SILENCE_TIMEOUT_MS
            or not (has_majority or known.removed_at_ms <= now_ms)
        ]
        return [known.member for known in present]

    def sharing(self, now_ms: float) -> frozenset[str]:
        """Return the names of the other routers that may admit calls.

        Limits are divided among them. A silent router may only be cut off from
        this one; it counts until its registration has been removed and it had
        time to register again.
        """
        return frozenset(one.member.name for one in self._counted(now_ms))

    def heard(self, now_ms: float) -> list[str]:
        """Return the names of the routers that this router hears."""
        return [
            known.member.name
            for known in self._counted(now_ms)
            if known.is_heard(now_ms)
        ]

    def silences(self, now_ms: float) -> list[SilentMember]:
        """Return the registered routers with the time since their last sign."""
        return [
            SilentMember(
                name,
                now_ms - max(known.seen_at_ms, known.registered_again_at_ms),
                known.vain_removals,
            )
            for name, known in self._known.items()
            if known.removed_at_ms > now_ms
        ]

    def hears_majority(self, now_ms: float) -> bool:
        """Return whether this router and those it hears are a majority."""
        others = self._counted(now_ms)
        heard = sum(one.is_heard(now_ms) for one in others)
        return 2 * (heard + 1) > len(others) + 1

    def share_group(self, now_ms: float) -> ShareGroup:
        """Return the routers that share rates which must not be exceeded.

        A router that hears from less than half of the routers stops using its
        share after a timeout. Only a majority, which a silent router can't
        hear from, gives its share to others, after twice that time.
        """
        others = [one for one in self._known.values() if not one.has_left]
        seen_ms = sorted(one.seen_at_ms for one in others)
        heard = sum(one.is_heard(now_ms) for one in others)
        has_majority = 2 * (heard + 1) > len(others) + 1
        names = frozenset(
            one.member.name
            for one in others
            if not has_majority or now_ms - one.seen_at_ms < RECLAIM_MS
        )
        # With this many others, this router hears from half of the routers.
        needed = len(others) // 2
        until_ms = float('inf')
        if needed:
            until_ms = seen_ms[-needed] + SILENCE_TIMEOUT_MS
        return ShareGroup(names, self._read_at_ms + SETTLE_MS, until_ms)

    def _counted(self, now_ms: float) -> list[_KnownRouter]:
        """Return the routers that are registered or may still be running."""
        self._drop_removed(now_ms)
        return [
            known
            for known in self._known.values()
            if not known.has_left
            and (
                now_ms < known.removed_at_ms + self._use_after_removal_ms
                or self._is_unregistered_but_running(known, now_ms)
            )
        ]

    def _is_unregistered_but_running(
        self, known: _KnownRouter, now_ms: float
    ) -> bool:
        is_newer = known.last_message_at_ms > known.removed_at_ms
        return is_newer and known.is_heard(now_ms)

    def _drop_removed(self, now_ms: float) -> None:
        """Forget removed routers that no longer use any share."""
        for name, known in list(self._known.items()):
            if known.removed_at_ms > now_ms:
                continue
            counts_until_ms = max(
                known.removed_at_ms + self._use_after_removal_ms,
                known.seen_at_ms + RECLAIM_MS,
            )
            if known.has_left or now_ms >= counts_until_ms:
                self._known.pop(name)
