"""Types that several clients share."""

import dataclasses

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """A request that is safe to repeat got no usable answer.

    :param reason: what went wrong, for logs and error messages.
    """

    reason: str
