"""Positions in the topics of the metadata store, and the store's eras.

The store may come back from an older copy. It then gives the offsets of the
records that it has lost to other records, and its era has risen. So an offset
means nothing without the era in which it was read.
"""

import dataclasses

import structlog

# Era of a store that states none.
UNSTATED_ERA = 0
# Greatest era that is believed, which leaves room for offsets in one number
# that JSON carries exactly.
MAX_ERA = 2**20 - 1
_OFFSET_BITS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Place in the log of a topic, within one era of the store.

    :param era: era of the store; 0 if it states none.
    :param offset: number of the record that is there or will be.
    """

    era: int
    offset: int

    def at(self, offset: int) -> 'Position':
        """Return another position of the same era."""
        return Position(self.era, offset)

    def includes(self, other: 'Position') -> bool:
        """Return whether all that lies before another position lies before.

        Nothing is known of positions in another era.
        """
        return self.era == other.era and self.offset >= other.offset

    @property
    def rank(self) -> int:
        """Number that rises with each record of a topic, over all eras."""
        return self.era << _OFFSET_BITS | self.offset


class EraTracker:
    """Tells in which era the store is, by what its answers state."""

    def __init__(self) -> None:
        """Know no era."""
        self._era: int | None = None
        self._changes = 0
        self._log = structlog.get_logger(part='store')

    def begin_request(self) -> int:
        """Return what :meth:`is_current` needs to know of a request's start."""
        return self._changes

    def is_current(self, era: int, begun: int) -> bool:
        """Learn the era that an answer states; return whether it still lasts.

        An answer of an earlier era is late if a later one was known only after
        the request was begun. If it was known before, the store itself has
        gone back, or has stated a wrong era meanwhile: what follows is treated
        as a new era.

        :param begun: what :meth:`begin_request` returned for the request.
        """
        if era == self._era:
            return True
        is_late = self._era is not None and era < self._era
        if is_late and begun < self._changes:
            return False
        if self._era is not None:
            self._log.warning(
                'store era changed',
                before=self._era,
                era=era,
                rises=not is_late,
            )
            self._changes += 1
        self._era = era
        return True
