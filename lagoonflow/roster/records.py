"""Encodes and decodes the records of the roster stream."""

import msgspec

from lagoonflow.roster.messages import Gone, Joined, Left, RosterChange
from lagoonflow.streams.envelope import Envelope, Record

_JOINED_KIND = 'joined'
_LEFT_KIND = 'left'
_GONE_KIND = 'gone'

_decoders: dict[str, msgspec.json.Decoder[RosterChange]] = {
    _JOINED_KIND: msgspec.json.Decoder(Joined),
    _LEFT_KIND: msgspec.json.Decoder(Left),
    _GONE_KIND: msgspec.json.Decoder(Gone),
}


def encode_change(change: RosterChange, record_id: str) -> Record:
    """Encode a change as a record.

    :param record_id: unique id, which makes repeated appends harmless.
    """
    match change:
        case Joined():
            kind = _JOINED_KIND
        case Left():
            kind = _LEFT_KIND
        case Gone():
            kind = _GONE_KIND
    return Record(record_id, kind, change)


def decode_change(envelope: Envelope) -> RosterChange | None:
    """Decode the change in a record; ``None`` for an unknown kind.

    :raises msgspec.MsgspecError: when the body is not valid.
    """
    decoder = _decoders.get(envelope.kind)
    return decoder.decode(envelope.body) if decoder else None
