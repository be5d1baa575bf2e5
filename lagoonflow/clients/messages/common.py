"""Results that several services share."""

import dataclasses

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """A service gave no usable answer to a request without effects.

    :param reason: one sentence for a person.
    """

    reason: str
