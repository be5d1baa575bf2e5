"""Positions in topics of the metadata store."""

from lagoonflow.declared.positions import UNSTATED_ERA, Position


def at(offset: int, era: int = UNSTATED_ERA) -> Position:
    """Return a position, by default in a store that states no era."""
    return Position(era, offset)
