"""Records of the claims stream and the values they carry."""

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
    """Kinds of records on the claims stream."""

    CLAIMED = 'claimed'
    SETTLED = 'settled'
    CLOSED = 'closed'
    FORGOTTEN = 'forgotten'


class OutcomeKind(enum.StrEnum):
    """How a claimed call ended.

    ``ANSWERED``: it ran and its answer is kept. ``NOT_RUN``: it did not run,
    so the key is free again. ``UNKNOWN``: it may have run.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Identifies a call that may run at most once.

    :param organisation: organisation of the caller.
    :param route: route of the call.
    :param key_digest: digest of the ``Idempotency-Key`` header.
    """

    organisation: Name
    route: Name
    key_digest: Name


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a claimed call, which answers repeats of the call.

    :param is_body_omitted: whether the body was too large to be kept.
    """

    kind: OutcomeKind
    status: int = 0
    headers: Headers = ()
    body: Body = b''
    is_body_omitted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """A process claims a call in order to run it.

    :param body_digest: digest of the request, to detect a key that is used
        again for another request.
    :param claimer: name of the process; only it may run the call.
    :param claimer_nonce: identifies the process under that name.
    """

    claim_id: Name
    key: ClaimKey
    body_digest: Name
    claimer: Name
    claimer_nonce: Name


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The claimer reports the outcome of its claim."""

    claim_id: Name
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """Any process closes a claim that is too old or whose claimer is gone."""

    claim_id: Name


@dataclasses.dataclass(frozen=True, slots=True)
class Forgotten:
    """Outcomes settled up to an offset need not be kept any longer."""

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
