"""Values of authentication."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a caller is; empty for callers of open routes."""

    organisation: str = ''
    key_id: str = ''
