"""Records of the claims stream, and values made of them."""

import dataclasses
import enum
from typing import Annotated

import msgspec

from lagoonflow.calls.messages import Header

MAX_NAME_CHARS = 256
MAX_BODY_BYTES = 4096
MAX_HEADERS = 32

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
Body = Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)]
Headers = Annotated[tuple[Header, ...], msgspec.Meta(max_length=MAX_HEADERS)]
Offset = Annotated[int, msgspec.Meta(ge=0)]


class ClaimKind(enum.StrEnum):
    """Kinds of records of the claims stream."""

    CLAIMED = 'claimed'
    SETTLED = 'settled'
    CLOSED = 'closed'
    FORGOTTEN = 'forgotten'


class OutcomeKind(enum.StrEnum):
    """What became of a claimed call.

    ``NOT_RUN`` frees the key; nobody knows more than ``UNKNOWN``.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """What may run at most once.

    :param key_digest: digest of the ``Idempotency-Key``.
    """

    organisation: Name
    route: Name
    key_digest: Name


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a claimed call, for repeats.

    :param is_body_omitted: whether the body was too large to be kept.
    """

    kind: OutcomeKind
    status: int = 0
    headers: Headers = ()
    body: Body = b''
    is_body_omitted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """A process wants to run a call.

    :param body_digest: digest of the request, to tell other requests.
    :param claimer: name of the process; only it may run the call.
    """

    claim_id: Name
    key: ClaimKey
    body_digest: Name
    claimer: Name
    claimer_nonce: Name


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The claimer states the outcome of its claim."""

    claim_id: Name
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """Some process found the claimer dead, or the claim too old."""

    claim_id: Name


@dataclasses.dataclass(frozen=True, slots=True)
class Forgotten:
    """Outcomes settled up to an offset have been kept long enough."""

    up_to_offset: Offset


ClaimRecord = Claimed | Settled | Closed | Forgotten

_KINDS = {
    Claimed: ClaimKind.CLAIMED,
    Settled: ClaimKind.SETTLED,
    Closed: ClaimKind.CLOSED,
    Forgotten: ClaimKind.FORGOTTEN,
}


def kind_of(record: ClaimRecord) -> ClaimKind:
    """Return the kind under which a record is appended."""
    return _KINDS[type(record)]
