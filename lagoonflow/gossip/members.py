"""Which routers belong to the fleet, by registry and by hearing."""

import dataclasses

# A registered router that is not heard from for this long has ended, unless
# it is this process that is cut off, in ms.
GONE_AFTER_MS = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class RouterMember:
    """A registered router.

    :param address: where its datagrams go.
    """

    name: str
    address: str


@dataclasses.dataclass(slots=True)
class _Known:
    member: RouterMember
    known_at_ms: float
    heard_at_ms: float = float('-inf')
    has_left: bool = False


class Members:
    """Follows the other routers.

    :param own_name: name of this router.
    """

    def __init__(self, own_name: str) -> None:
        """Start alone."""
        self._own_name = own_name
        self._known: dict[str, _Known] = {}

    def register(self, member: RouterMember, now_ms: float) -> None:
        """Add a router or its new address."""
        if member.name == self._own_name:
            return
        known = self._known.get(member.name)
        if known is None or known.member != member:
            self._known[member.name] = _Known(member, now_ms)

    def record_message(
        self, name: str, now_ms: float, *, is_leaving: bool
    ) -> None:
        """Note a message from a router."""
        known = self._known.get(name)
        if known is not None:
            known.heard_at_ms = now_ms
            known.has_left = is_leaving

    def present(self, now_ms: float) -> list[RouterMember]:
        """Routers that count, whether heard from or not.

        Silent ones count until they have ended for certain; on the smaller
        side of a split they count for ever.
        """
        recent = [
            known
            for known in self._known.values()
            if not known.has_left and self._is_recent(known, now_ms)
        ]
        others = [one for one in self._known.values() if not one.has_left]
        heard = sum(now_ms - one.heard_at_ms < GONE_AFTER_MS for one in others)
        has_majority = 2 * (heard + 1) > len(others) + 1
        counted = recent if has_majority else others
        return [known.member for known in counted]

    def _is_recent(self, known: _Known, now_ms: float) -> bool:
        last_ms = max(known.heard_at_ms, known.known_at_ms)
        return now_ms - last_ms < GONE_AFTER_MS
