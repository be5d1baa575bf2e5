"""Types of the fields in release notes, with their limits."""

from typing import Annotated

import msgspec

MAX_TEXT_CHARS = 1000
MAX_MEMORY_MB = 100_000_000
MAX_REPLICAS = 10_000
MAX_TOKENS = 1_000_000_000_000

Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._:/-]*$(?!\n)',
        max_length=128,
        description='Letters, digits and ._:/- after the first character.',
    ),
]
Label = Annotated[
    str, msgspec.Meta(pattern=r'^[!-~]+$(?!\n)', min_length=1, max_length=200)
]
Text = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[^\x00-\x08\x0b-\x1f\x7f]*$', max_length=MAX_TEXT_CHARS
    ),
]
Digest = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[0-9a-f]{64}$(?!\n)',
        description='SHA-256 of a key, as `lagoonflowctl key new` prints it.',
    ),
]
Prefix = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^(/[A-Za-z0-9._~-]+)+$(?!\n)',
        max_length=200,
        description='Path segments without a slash at the end.',
    ),
]
BaseVersion = Annotated[
    int,
    msgspec.Meta(
        ge=0,
        description='Version that the change is based on; 0 for a new object.',
    ),
]
MemoryMb = Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMORY_MB)]
Replicas = Annotated[int, msgspec.Meta(ge=1, le=MAX_REPLICAS)]
Tokens = Annotated[float, msgspec.Meta(gt=0, le=MAX_TOKENS)]
Cost = Annotated[float, msgspec.Meta(ge=0, le=MAX_TOKENS)]
