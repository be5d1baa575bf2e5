"""Chunks of one attempt that are kept at the agent until they are read."""

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
    """Bounds of a chunk buffer.

    :param chunk_bytes: small chunks are joined up to this size.
    :param pending_bytes: unread bytes above which the source has to wait.
    :param retained_bytes: read bytes kept for resumption; more than what a
        connection can hold that has gone silent.
    """

    chunk_bytes: int = 4096
    pending_bytes: int = 32_768
    retained_bytes: int = 131_072


class ChunkBuffer:
    """Numbers the chunks of an answer and keeps them for its readers.

    A chunk that was read keeps its index and its content, so that each
    reader sees the same sequence.
    """

    def __init__(
        self, attempt: AttemptId, limits: BufferLimits | None = None
    ) -> None:
        """Start with no chunk."""
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
        """Whether the source has to wait for the reader."""
        return self._pending_bytes >= self._limits.pending_bytes

    @property
    def is_read(self) -> bool:
        """Whether the answer is complete and was read to its end."""
        return self.is_complete and self._next_unread >= self.next_index

    @property
    def next_index(self) -> int:
        """Index of the next chunk."""
        return self._first_index + len(self._chunks)

    def add_text(self, text: str, tokens: int) -> None:
        """Append text, joined to an unread chunk when that is small."""
        if not text and not tokens:
            return
        last = self._joinable()
        if last is None or last.body or last.answer:
            self._append(self._chunk(text=text, tokens=tokens))
            return
        self._replace(
            dataclasses.replace(
                last, text=last.text + text, tokens=last.tokens + tokens
            )
        )

    def add_body(self, body: bytes) -> None:
        """Append bytes of a body, joined like text."""
        if not body:
            return
        last = self._joinable()
        if last is None or last.tokens:
            self._append(self._chunk(body=body))
            return
        self._replace(dataclasses.replace(last, body=last.body + body))

    def add_answer(self, answer: ServiceAnswer) -> None:
        """Append the head of a plain service's answer."""
        self._append(self._chunk(answer=answer))

    def finish(self, finish: Finish) -> None:
        """Append the end of a whole answer."""
        self._append(self._chunk(finish=finish, state=AttemptState.FINISHED))
        self.is_complete = True

    def refuse(self, refusal: Refusal, state: AttemptState) -> None:
        """Append a refusal, which ends the answer."""
        self._append(self._chunk(refusal=refusal, state=state))
        self.is_complete = True

    def read(self, index: int) -> Chunk | None:
        """Return the chunk of an index, or ``None`` if there is none yet.

        An index that is no longer kept gives a refusal.
        """
        if index < self._first_index:
            return _gone(self._attempt, index)
        if index >= self.next_index:
            return None
        chunk = self._chunks[index - self._first_index]
        if index >= self._next_unread:
            self._mark_read(index)
        return chunk

    def _chunk(self, **fields: object) -> Chunk:
        fields.setdefault('state', AttemptState.STARTED)
        return Chunk(self._attempt, self.next_index, **fields)

    def _joinable(self) -> Chunk | None:
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
        self._trim()

    def _trim(self) -> None:
        # The chunk that was read last stays, however large it is.
        while self._retained_bytes > self._limits.retained_bytes:
            if self._first_index + 1 >= self._next_unread:
                return
            self._retained_bytes -= _size(self._chunks.popleft())
            self._first_index += 1


def _gone(attempt: AttemptId, index: int) -> Chunk:
    refusal = Refusal(
        Result.STREAM_BROKEN, 'the chunk is no longer kept', not_run=False
    )
    return Chunk(attempt, index, AttemptState.STARTED, refusal=refusal)


def _size(chunk: Chunk) -> int:
    return len(chunk.text) + len(chunk.body)
