"""The body of checkpoint records."""

from typing import Annotated

import msgspec
import xxhash

from lagoonflow.streams.envelope import (
    CHECKPOINT_KIND,
    Envelope,
    Record,
    decode_envelope,
    encode_record,
)
from lagoonflow.streams.extent import Extent, Gap

_Offset = Annotated[int, msgspec.Meta(ge=0)]


class CheckpointBody(msgspec.Struct, frozen=True):
    """The folded state of a stream as of an offset.

    :param as_of: offset of the first record that is not folded in.
    :param state: JSON text of what the fold keeps.
    :param gaps: offsets below `as_of` that are not folded in.
    :param seen: digests of the last record ids, oldest first.
    :param rejected_count: records rejected so far.
    """

    as_of: _Offset
    state: msgspec.Raw
    gaps: tuple[Gap, ...] = ()
    seen: tuple[str, ...] = ()
    rejected_count: _Offset = 0

    @property
    def extent(self) -> Extent:
        """Return the offsets that the checkpoint covers."""
        return Extent(self.as_of, self.gaps)


_bodies = msgspec.json.Decoder(CheckpointBody)


def encode_checkpoint(body: CheckpointBody) -> str:
    """Encode a checkpoint as a record; equal bodies give equal texts."""
    digest = xxhash.xxh64_hexdigest(msgspec.json.encode(body))
    record_id = f'checkpoint-{body.as_of}-{digest}'
    return encode_record(Record(record_id, CHECKPOINT_KIND, body))


def decode_checkpoint(text: str) -> CheckpointBody | None:
    """Decode a checkpoint record; None when it is none or malformed."""
    envelope = decode_envelope(text)
    if envelope is None:
        return None
    return decode_checkpoint_body(envelope)


def decode_checkpoint_body(envelope: Envelope) -> CheckpointBody | None:
    """Decode the body of a checkpoint; None when it is malformed."""
    if envelope.kind != CHECKPOINT_KIND:
        return None
    try:
        return _bodies.decode(envelope.body)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
