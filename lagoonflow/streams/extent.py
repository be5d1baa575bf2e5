"""The offsets of a stream that a state covers, and their order."""

import math

import msgspec


class Gap(msgspec.Struct, frozen=True):
    """A range of offsets whose records expired before they were folded.

    :param first: first missing offset.
    :param end: first offset after the gap.
    """

    first: int
    end: int


class Extent(msgspec.Struct, frozen=True):
    """The offsets that a state has folded.

    :param next_offset: offset of the next record.
    :param gaps: ranges of missing offsets below `next_offset`, in order.
    """

    next_offset: int
    gaps: tuple[Gap, ...] = ()

    def covers_more_than(self, other: 'Extent') -> bool:
        """Tell whether this extent covers more than another one.

        The extent whose first missing offset is higher covers more. This
        order is total, so that all processes converge on the same state
        after an outage that was longer than the log's retention.
        """
        return self._missing_ranges() > other._missing_ranges()

    def truncated_at(self, offset: int) -> 'Extent':
        """Return this extent as it was when `offset` was the next to fold."""
        gaps = tuple(
            Gap(gap.first, min(gap.end, offset))
            for gap in self.gaps
            if gap.first < offset
        )
        return Extent(offset, gaps)

    def resume_from(self, offset: int) -> int:
        """Return `offset`, or the end of the gap that it is in."""
        ends = [gap.end for gap in self.gaps if gap.first <= offset < gap.end]
        return ends[0] if ends else offset

    def _missing_ranges(self) -> tuple[tuple[float, float], ...]:
        gaps = tuple((gap.first, -gap.end) for gap in self.gaps)
        return (*gaps, (self.next_offset, -math.inf))
