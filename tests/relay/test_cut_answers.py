"""Fuzz test: answers that are split and cut anywhere, under every framing."""

import asyncio
import dataclasses
import enum

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.relay.harness import (
    FramedAnswer,
    RelayHarness,
    encode_request,
    read_framed_answer,
)
from tests.support.sockets import reset

PLAIN_BODY = b'<p>forty bytes of a page, or a few more</p>'
EVENTS = tuple(b'id: %d\ndata: x%d\n\n' % (one, one) for one in range(1, 5))
SEAL = b'Server-Seal: s\r\n'
STREAM_TYPE = b'Content-Type: text/event-stream\r\n'
LENGTH_NAME = b'content-length'
CHUNKED_NAME = b'transfer-encoding'


class Framing(enum.Enum):
    LENGTH = 'length'
    CHUNKED = 'chunked'
    NONE = 'none'
    HTTP_1_0 = 'http 1.0'


class Ending(enum.Enum):
    CLOSE = 'close'
    RESET = 'reset'
    KEEP_OPEN = 'keep open'


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer that is sent up to a cut, in pieces.

    :param cut_at: share of the encoded answer that is sent.
    :param piece_bytes: size of the pieces, in bytes.
    """

    is_stream: bool
    framing: Framing
    ending: Ending
    cut_at: float
    piece_bytes: int
    announces_close: bool

    @property
    def body(self) -> bytes:
        return b''.join(EVENTS) if self.is_stream else PLAIN_BODY

    @property
    def encoded(self) -> bytes:
        return self.head + self.encoded_body

    @property
    def head(self) -> bytes:
        version = b'1.0' if self.framing is Framing.HTTP_1_0 else b'1.1'
        fields = SEAL + (STREAM_TYPE if self.is_stream else b'')
        if self.announces_close:
            fields += b'Connection: close\r\n'
        if self.framing is Framing.LENGTH:
            fields += b'Content-Length: %d\r\n' % len(self.body)
        if self.framing is Framing.CHUNKED:
            fields += b'Transfer-Encoding: chunked\r\n'
        return b'HTTP/%s 200 OK\r\n%s\r\n' % (version, fields)

    @property
    def encoded_body(self) -> bytes:
        if self.framing is not Framing.CHUNKED:
            return self.body
        pieces = EVENTS if self.is_stream else (self.body,)
        chunks = [b'%x\r\n%s\r\n' % (len(one), one) for one in pieces]
        return b''.join((*chunks, b'0\r\n\r\n'))

    @property
    def is_framed(self) -> bool:
        return self.framing in {Framing.LENGTH, Framing.CHUNKED}

    @property
    def sent(self) -> bytes:
        return self.encoded[: round(self.cut_at * len(self.encoded))]

    @property
    def is_whole(self) -> bool:
        return len(self.sent) == len(self.encoded)

    @property
    def sent_body(self) -> bytes:
        """The part of the body that was sent, if it is not chunked."""
        return self.sent[len(self.head) :]


answers = st.builds(
    Answer,
    is_stream=st.booleans(),
    framing=st.sampled_from(Framing),
    ending=st.sampled_from(Ending),
    cut_at=st.one_of(st.just(1.0), st.floats(0, 1)),
    piece_bytes=st.integers(1, 200),
    announces_close=st.booleans(),
)


@settings(
    max_examples=250,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(answer=answers, path=st.sampled_from(['/once/x', '/resume/x']))
def test_a_cut_answer_never_looks_complete(answer, path):
    seen = asyncio.run(_relay(answer, path))
    names = seen.headers.keys()
    claims_end = seen.is_complete and (
        LENGTH_NAME in names or CHUNKED_NAME in names
    )
    if seen.status != 200:
        # A refusal of the router, because the server broke off.
        assert not answer.is_whole or answer.ending is not Ending.CLOSE
        return
    assert answer.body.startswith(seen.body)
    if claims_end:
        assert answer.is_framed
        assert answer.is_whole
        assert seen.body == answer.body
    if not answer.is_framed and seen.is_complete:
        assert answer.ending is Ending.CLOSE
        assert seen.body == answer.sent_body
        is_cut_event = seen.body and not seen.body.endswith(b'\n\n')
        assert not (answer.is_stream and is_cut_event)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    answer=answers.map(
        lambda one: dataclasses.replace(one, cut_at=1, ending=Ending.CLOSE)
    ),
    path=st.sampled_from(['/once/x', '/resume/x']),
)
def test_a_whole_answer_arrives_whole(answer, path):
    seen = asyncio.run(_relay(answer, path))
    assert (seen.status, seen.body) == (200, answer.body)
    assert seen.is_complete


async def _relay(answer: Answer, path: str) -> FramedAnswer:
    async def script(writer, _received) -> bool:
        for start in range(0, len(answer.sent), answer.piece_bytes):
            writer.write(answer.sent[start : start + answer.piece_bytes])
            await asyncio.sleep(0)
        await writer.drain()
        if answer.ending is Ending.RESET:
            reset(writer)
        return answer.ending is Ending.KEEP_OPEN

    harness = RelayHarness()
    await harness.add_backends(script)
    reader, writer = await harness.connect()
    writer.write(encode_request(path, 'Deadline-Ms: 150'))
    seen = await read_framed_answer(reader)
    writer.close()
    return seen
