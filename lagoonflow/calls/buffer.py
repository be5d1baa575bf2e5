"""Buffer at the agent for the chunks of one attempt's answer."""

import dataclasses
from collections import deque

from lagoonflow.calls.messages import (
    AttemptId,
    AttemptState,
    Chunk,
    Finish,
    ServiceAnswer,
)
from lagoonflow.results import Refusal, Result


@dataclasses.dataclass(frozen=True, slots=True)
class BufferLimits:
    """Limits of a chunk buffer, in which a character counts as one byte.

    :param chunk_bytes: size in bytes up to which an unread chunk is extended.
    :param pending_bytes: number of unread bytes at which the source has to
        wait.
    :param retained_bytes: number of bytes kept after they were read, so that a
        stream can be resumed; more than the buffers of a connection that has
        gone silent can hold.
    """

    chunk_bytes: int = 4096
    pending_bytes: int = 32_768
    retained_bytes: int = 131_072


class ChunkBuffer:
    """Numbers the chunks of an answer and keeps them for its readers.

    A chunk does not change once it was read, so that each reader gets the
    same sequence.
    """

    def __init__(
        self, attempt: AttemptId, limits: BufferLimits | None = None
    ) -> None:
        """Start with no chunks."""
        self.is_complete = False
        self._attempt = attempt
        self._limits = limits or BufferLimits()
        self._chunks: deque[Chunk] = deque()
        self._first_index = 0
        self._next_unread = 0
        self._pending_bytes = 0
        self._retained_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether the source has to wait until a reader has caught up."""
        return self._pending_bytes >= self._limits.pending_bytes

    @property
    def is_read(self) -> bool:
        """Whether the answer is complete and all of it was read."""
        return self.is_complete and self._next_unread >= self.next_index

    @property
    def next_index(self) -> int:
        """Index that the next chunk to be appended gets."""
        return self._first_index + len(self._chunks)

    def add_text(self, text: str, tokens: int) -> None:
        """Append text, to the last chunk if that is small and not yet read.

        :param tokens: number of tokens in the text.
        """
        if not text and not tokens:
            return
        last = self._extensible_chunk()
        if last is None or last.body or last.answer:
            self._append(self._chunk(text=text, tokens=tokens))
            return
        self._replace(
            dataclasses.replace(
                last, text=last.text + text, tokens=last.tokens + tokens
            )
        )

    def add_body(self, body: bytes) -> None:
        """Append body bytes, to the last chunk if that is small and unread."""
        if not body:
            return
        last = self._extensible_chunk()
        if last is None or last.tokens:
            self._append(self._chunk(body=body))
            return
        self._replace(dataclasses.replace(last, body=last.body + body))

    def add_answer(self, answer: ServiceAnswer) -> None:
        """Append status and headers of a plain service's answer."""
        self._append(self._chunk(answer=answer))

    def finish(self, finish: Finish) -> None:
        """Append the end of a complete answer."""
        self._append(self._chunk(finish=finish, state=AttemptState.FINISHED))
        self.is_complete = True

    def refuse(self, refusal: Refusal, state: AttemptState) -> None:
        """Append a refusal, which ends the answer early."""
        self._append(self._chunk(refusal=refusal, state=state))
        self.is_complete = True

    def read(self, index: int) -> Chunk | None:
        """Return the chunk at an index, or ``None`` if there is none yet.

        If the chunk has been dropped, a chunk with a refusal is returned.
        """
        if index < self._first_index:
            return _dropped_chunk(self._attempt, index)
        if index >= self.next_index:
            return None
        chunk = self._chunks[index - self._first_index]
        if index >= self._next_unread:
            self._mark_read(index)
        return chunk

    def _chunk(self, **fields: object) -> Chunk:
        fields.setdefault('state', AttemptState.STARTED)
        return Chunk(self._attempt, self.next_index, **fields)

    def _extensible_chunk(self) -> Chunk | None:
        if not self._chunks or self._next_unread >= self.next_index:
            return None
        last = self._chunks[-1]
        return last if _size(last) < self._limits.chunk_bytes else None

    def _append(self, chunk: Chunk) -> None:
        if self.is_complete:
            return
        self._chunks.append(chunk)
        self._pending_bytes += _size(chunk)

    def _replace(self, chunk: Chunk) -> None:
        if self.is_complete:
            return
        previous = self._chunks.pop()
        self._pending_bytes += _size(chunk) - _size(previous)
        self._chunks.append(chunk)

    def _mark_read(self, index: int) -> None:
        while self._next_unread <= index:
            chunk = self._chunks[self._next_unread - self._first_index]
            self._pending_bytes -= _size(chunk)
            self._retained_bytes += _size(chunk)
            self._next_unread += 1
        self._drop_oldest()

    def _drop_oldest(self) -> None:
        # The chunk that was read last is kept, however large it is.
        while self._retained_bytes > self._limits.retained_bytes:
            if self._first_index + 1 >= self._next_unread:
                return
            self._retained_bytes -= _size(self._chunks.popleft())
            self._first_index += 1


def _dropped_chunk(attempt: AttemptId, index: int) -> Chunk:
    refusal = Refusal(
        Result.STREAM_BROKEN,
        'this part of the answer is no longer kept',
        not_run=False,
    )
    return Chunk(attempt, index, AttemptState.STARTED, refusal=refusal)


def _size(chunk: Chunk) -> int:
    # A character of text counts as one byte.
    return len(chunk.text) + len(chunk.body)
