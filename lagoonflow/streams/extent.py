"""Which offsets of a stream a state covers, and which of two covers more."""

import math

import msgspec


class Gap(msgspec.Struct, frozen=True):
    """Offsets whose records expired before the state could fold them.

    :param first: first offset that is missing.
    :param end: first offset after it that was folded again.
    """

    first: int
    end: int


class Extent(msgspec.Struct, frozen=True):
    """The offsets that a state has folded.

    :param next_offset: offset of the next record.
    :param gaps: missing offsets below it, in order.
    """

    next_offset: int
    gaps: tuple[Gap, ...] = ()

    def covers_more_than(self, other: 'Extent') -> bool:
        """Compare two states of one stream.

        The one that misses its first record later covers more. This is a
        total order, so that all processes settle on the same state after
        an outage longer than retention.
        """
        return self._missing_ranges() > other._missing_ranges()

    def truncated_at(self, offset: int) -> 'Extent':
        """Return the extent that this one had at an earlier offset."""
        gaps = tuple(
            Gap(gap.first, min(gap.end, offset))
            for gap in self.gaps
            if gap.first < offset
        )
        return Extent(offset, gaps)

    def resume_from(self, offset: int) -> int:
        """Return the first folded offset that is not below `offset`."""
        ends = [gap.end for gap in self.gaps if gap.first <= offset < gap.end]
        return ends[0] if ends else offset

    def _missing_ranges(self) -> tuple[tuple[float, float], ...]:
        gaps = tuple((gap.first, -gap.end) for gap in self.gaps)
        return (*gaps, (self.next_offset, -math.inf))
