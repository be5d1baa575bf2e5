"""Tests that datagrams are decoded, also those of other versions."""

import msgspec

from lagoonflow.gossip.messages import (
    AgentState,
    HeldModelState,
    LoadRequest,
    MeterState,
    RouterState,
    decode,
    encode,
)


def test_messages_are_decoded_as_sent():
    for message in (
        RouterState(
            'r', 'a:1', 1, 'i', 2, (LoadRequest('m', 'a1', 1, 0, 500),)
        ),
        AgentState('a', 'i', 2, (HeldModelState('m', ('a1',), 3, 0.5),), 'n'),
        MeterState('r', 1, {'o': 2.5}),
    ):
        assert decode(encode(message)) == message


def test_fields_of_a_newer_version_are_ignored():
    raw = msgspec.msgpack.decode(encode(MeterState('r', 1)))
    assert decode(msgspec.msgpack.encode([*raw, 'new'])) == MeterState('r', 1)


def test_fields_that_an_older_version_lacks_have_defaults():
    raw = msgspec.msgpack.decode(encode(MeterState('r', 1, {'o': 1.0})))
    assert decode(msgspec.msgpack.encode(raw[:3])) == MeterState('r', 1)


def test_malformed_datagrams_are_dropped():
    assert decode(b'') is None
    assert decode(b'\xff' * 20) is None
    assert decode(msgspec.msgpack.encode(['Other', 1])) is None
