"""Chunk buffers: chunks keep their index and memory is limited."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.calls.buffer import BufferLimits, ChunkBuffer
from lagoonflow.calls.messages import AttemptId, AttemptState, Finish
from lagoonflow.calls.reorder_buffer import ReorderBuffer
from lagoonflow.results import Result

ATTEMPT = AttemptId('request', 1)
LIMITS = BufferLimits(chunk_bytes=4, pending_bytes=10, retained_bytes=8)


def read_all(buffer, index=0):
    chunks = []
    while chunk := buffer.read(index):
        chunks.append(chunk)
        index += 1
    return chunks


def test_unread_text_is_joined_into_chunks():
    buffer = ChunkBuffer(ATTEMPT, LIMITS)
    for letter in 'abcdefg':
        buffer.add_text(letter, 1)
    assert [chunk.text for chunk in read_all(buffer)] == ['abcd', 'efg']
    buffer.add_text('h', 1)
    assert buffer.read(2).text == 'h'
    assert buffer.read(1).text == 'efg'


def test_empty_parts_take_no_index():
    buffer = ChunkBuffer(ATTEMPT, LIMITS)
    buffer.add_body(b'')
    buffer.add_text('', 0)
    assert buffer.next_index == 0


def test_source_waits_for_a_slow_reader():
    buffer = ChunkBuffer(ATTEMPT, LIMITS)
    buffer.add_body(b'0123456789')
    assert buffer.is_full
    buffer.read(0)
    assert not buffer.is_full


def test_old_chunks_are_dropped_and_then_refused():
    buffer = ChunkBuffer(ATTEMPT, LIMITS)
    for _ in range(5):
        buffer.add_body(b'0123')
        buffer.read(buffer.next_index - 1)
    assert buffer.read(0).refusal.code is Result.STREAM_BROKEN
    assert not buffer.read(0).refusal.not_run
    assert buffer.read(3).body == b'0123'


@given(st.lists(st.integers(0, 12)), st.randoms())
def test_readers_that_resume_get_the_same_answer(reads, random):
    buffer = ChunkBuffer(ATTEMPT, BufferLimits(chunk_bytes=3))
    for number, read in enumerate(reads):
        buffer.add_text(chr(97 + number % 26), 1)
        buffer.read(read)
    buffer.finish(Finish('stop'))
    expected = ''.join(chr(97 + number % 26) for number in range(len(reads)))
    chunks = [*read_all(buffer), *read_all(buffer)]
    random.shuffle(chunks)
    reorder_buffer = ReorderBuffer(ATTEMPT)
    parts = [part for chunk in chunks for part in reorder_buffer.accept(chunk)]
    assert ''.join(part.text for part in parts) == expected
    assert sum(part.tokens for part in parts) == len(reads)
    assert parts[-1].state is AttemptState.FINISHED
