"""Result of authentication."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The organisation and key of a caller; empty on open routes."""

    organisation: str = ''
    key_id: str = ''
