"""Encoding and decoding of checkpoint records."""

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

    :param as_of: offset of the first record that is not folded.
    :param state: JSON text of the fold's state.
    :param gaps: offsets below `as_of` that are not folded.
    :param seen: digests of the most recent record ids, oldest first.
    :param rejected_count: number of invalid records so far.
    """

    as_of: _Offset
    state: msgspec.Raw
    gaps: tuple[Gap, ...] = ()
    seen: tuple[str, ...] = ()
    rejected_count: _Offset = 0

    @property
    def extent(self) -> Extent:
        """The offsets that the checkpoint covers."""
        return Extent(self.as_of, self.gaps)


_bodies = msgspec.json.Decoder(CheckpointBody)


def encode_checkpoint(body: CheckpointBody) -> str:
    """Encode a checkpoint as a record; equal bodies give equal texts."""
    digest = xxhash.xxh64_hexdigest(msgspec.json.encode(body))
    record_id = f'checkpoint-{body.as_of}-{digest}'
    return encode_record(Record(record_id, CHECKPOINT_KIND, body))


def decode_checkpoint(text: str) -> CheckpointBody | None:
    """Decode a checkpoint record; None for any other or malformed text."""
    envelope = decode_envelope(text)
    if envelope is None:
        return None
    return decode_checkpoint_body(envelope)


def decode_checkpoint_body(envelope: Envelope) -> CheckpointBody | None:
    """Decode a checkpoint from its envelope; None when it is invalid."""
    if envelope.kind != CHECKPOINT_KIND:
        return None
    try:
        return _bodies.decode(envelope.body)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
