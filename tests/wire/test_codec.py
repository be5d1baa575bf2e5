"""The codec decodes what it encoded, and refuses malformed bytes."""

import dataclasses

import msgspec
import pytest
from grpclib.exceptions import GRPCError
from hypothesis import example, given
from hypothesis import strategies as st

from lagoonflow.wire.codec import MessagePackCodec

DEEP = 200_000
INT_64 = st.integers(-(2**63), 2**64 - 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A nested message."""

    name: str
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Old:
    """A message as defined by an older version."""

    key: str
    parts: tuple[Part, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class New:
    """The same message as defined by a newer version, with more fields."""

    key: str
    parts: tuple[Part, ...] = ()
    bounds: dict[str, int] = dataclasses.field(default_factory=dict)
    ratio: float = 0.5
    blob: bytes = b''
    note: str | None = None


parts = st.lists(st.builds(Part, st.text(), INT_64)).map(tuple)
messages = st.builds(
    New,
    st.text(),
    parts,
    st.dictionaries(st.text(), INT_64),
    st.floats(allow_nan=False),
    st.binary(),
    st.none() | st.text(),
)
codec = MessagePackCodec()


def decode(data, message_type=New):
    """Return the message, or None when the codec refuses the bytes."""
    try:
        return codec.decode(data, message_type)
    except GRPCError:
        return None


@given(messages)
def test_decoding_returns_the_encoded_message(message):
    assert codec.decode(codec.encode(message, New), New) == message


@given(messages)
def test_older_version_ignores_new_fields(message):
    decoded = codec.decode(codec.encode(message, New), Old)
    assert decoded == Old(message.key, message.parts)


@given(st.text(), parts)
def test_newer_version_fills_in_defaults(key, some_parts):
    encoded = codec.encode(Old(key, some_parts), Old)
    assert codec.decode(encoded, New) == New(key, some_parts)


@given(st.binary())
@example(b'')
@example(b'\xc1')
@example(b'\x81\xa3key\xa1\xff')
@example(b'\xdd\xff\xff\xff\xff')
@example(b'\xc6\xff\xff\xff\xff')
def test_any_bytes_are_a_message_or_refused(data):
    decoded = decode(data)
    assert decoded is None or isinstance(decoded, New)


@given(messages, st.data())
def test_truncated_message_is_refused(message, data):
    encoded = codec.encode(message, New)
    end = data.draw(st.integers(0, len(encoded) - 1))
    assert decode(encoded[:end]) is None


@given(messages, st.binary(min_size=1))
def test_message_with_trailing_bytes_is_refused(message, trailing):
    assert decode(codec.encode(message, New) + trailing) is None


@given(messages, st.data())
def test_flipped_byte_is_a_message_or_refused(message, data):
    encoded = bytearray(codec.encode(message, New))
    index = data.draw(st.integers(0, len(encoded) - 1))
    encoded[index] ^= data.draw(st.integers(1, 255))
    decoded = decode(bytes(encoded))
    assert decoded is None or isinstance(decoded, New)


@given(
    st.recursive(
        st.none() | st.booleans() | INT_64 | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    )
)
def test_any_other_value_is_a_message_or_refused(value):
    decoded = decode(msgspec.msgpack.encode(value))
    assert decoded is None or isinstance(decoded, New)


@pytest.mark.parametrize('opening', [b'\x91', b'\x81\xa1a'])
def test_deep_nesting_is_refused(opening):
    unknown_field = b'\x82\xa3key\xa1k\xa1x' + opening * DEEP + b'\xc0'
    assert decode(unknown_field) is None


def test_message_of_another_type_is_not_encoded():
    with pytest.raises(GRPCError):
        codec.encode(Old('k'), New)


@pytest.mark.parametrize(
    'message', [Part('n', 2**70), Part('\ud800'), Part('n', object())]
)
def test_message_that_cannot_be_encoded_raises_a_grpc_error(message):
    with pytest.raises(GRPCError):
        codec.encode(message, Part)
