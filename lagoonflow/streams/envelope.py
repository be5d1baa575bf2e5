"""The JSON envelope of all records on the shared streams."""

import dataclasses
from typing import Annotated, Any

import msgspec

CHECKPOINT_KIND = 'checkpoint'
MAX_RECORD_CHARS = 4_194_304
MAX_ID_CHARS = 128
MAX_KIND_CHARS = 64

_RecordId = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ID_CHARS)]
_Kind = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KIND_CHARS)]


class Envelope(msgspec.Struct, frozen=True):
    """A decoded record whose body is not yet decoded.

    :param record_id: unique id; folds ignore records with a repeated id.
    :param kind: name of the type of the body.
    :param body: JSON text of the body.
    """

    record_id: _RecordId = msgspec.field(name='id')
    kind: _Kind
    body: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record to append.

    :param record_id: unique id, chosen by the writer.
    :param kind: name of the type of the body.
    :param body: value that msgspec can encode as JSON.
    """

    record_id: str
    kind: str
    body: Any


_envelopes = msgspec.json.Decoder(Envelope)


def decode_envelope(text: str) -> Envelope | None:
    """Decode the envelope of a record; None when it is malformed."""
    if len(text) > MAX_RECORD_CHARS:
        return None
    try:
        return _envelopes.decode(text)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def encode_record(record: Record) -> str:
    """Encode a record as the JSON text that the log service stores."""
    encoded = msgspec.json.encode(
        {'id': record.record_id, 'kind': record.kind, 'body': record.body},
    )
    return encoded.decode()
