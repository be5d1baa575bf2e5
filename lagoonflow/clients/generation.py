"""Reads the streamed answer of a model engine, one JSON line at a time."""

import dataclasses
from collections import deque
from types import TracebackType
from typing import Literal

import msgspec

from lagoonflow.clients.exchange import DECODE_ERRORS, HttpFailure, HttpRequest
from lagoonflow.clients.http import HttpClient, HttpStream
from lagoonflow.clients.messages.generation import (
    Chunk,
    Finished,
    GenerationEvent,
    GenerationFailed,
    GenerationFailure,
)

OK = 200
CONFLICT = 409
FIRST_SERVER_ERROR = 500
LINE_LIMIT_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class StreamLine:
    """One line of a streamed answer: a chunk, or the end if `done` is true.

    :param done: whether this is the last line.
    :param index: index of the first token of a chunk.
    :param text: text of a chunk.
    :param tokens: number of tokens of a chunk.
    :param finish_reason: why the answer ended.
    :param completion_tokens: tokens of the whole answer.
    :param prompt_tokens: tokens of the prompt.
    """

    done: bool = False
    index: int = -1
    text: str = ''
    tokens: int = 1
    finish_reason: Literal['length', 'stop', 'cancelled', ''] = ''
    completion_tokens: int = -1
    prompt_tokens: int = -1


_decoder = msgspec.json.Decoder(StreamLine)


class GenerationStream:
    """Reads the events of one streamed answer, within time limits.

    :param http: client of the engine.
    :param progress_timeout_ms: longest time between chunks, in ms.
    """

    def __init__(self, http: HttpClient, progress_timeout_ms: float) -> None:
        self.is_over = False
        self._http = http
        self._progress_timeout_ms = progress_timeout_ms
        self._timeout_ms = progress_timeout_ms
        self._stream: HttpStream | None = None
        self._events: deque[GenerationEvent] = deque()
        self._partial_line = b''

    async def __aenter__(self) -> 'GenerationStream':
        """Enter without a connection; ``open`` makes it."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connection if there is one."""
        if self._stream is not None:
            await self._stream.aclose()

    async def open(self, request: HttpRequest) -> GenerationFailed | None:
        """Send the request, and return a failure unless its answer begins.

        :param request: its timeout is the longest time until the first chunk.
        """
        self._timeout_ms = request.timeout_ms
        opened = await self._http.open(request)
        if isinstance(opened, HttpFailure):
            return self._fail(_classify_open_failure(opened), opened.reason)
        self._stream = opened
        if opened.status == OK:
            return None
        reason = f'status {opened.status}'
        return self._fail(_classify_status(opened.status), reason)

    async def next_event(self) -> GenerationEvent:
        """Return the next event; with the last one, `is_over` becomes true."""
        while not self._events:
            failure = await self._read_lines()
            if failure is not None:
                return failure
        event = self._events.popleft()
        self.is_over = not isinstance(event, Chunk)
        return event

    async def _read_lines(self) -> GenerationFailed | None:
        piece = await self._stream.read(self._timeout_ms)
        if isinstance(piece, HttpFailure):
            return self._fail(_classify_read_failure(piece), piece.reason)
        if not piece:
            return self._fail(GenerationFailure.BROKEN, 'ended early')
        self._timeout_ms = self._progress_timeout_ms
        *lines, rest = (self._partial_line + piece).split(b'\n')
        if len(rest) > LINE_LIMIT_BYTES:
            return self._fail(GenerationFailure.BROKEN, 'line too long')
        self._partial_line = rest
        self._events.extend(map(_decode_line, filter(None, lines)))
        return None

    def _fail(self, kind: GenerationFailure, reason: str) -> GenerationFailed:
        self.is_over = True
        return GenerationFailed(kind, reason)


def _decode_line(line: bytes) -> GenerationEvent:
    try:
        decoded = _decoder.decode(line)
    except DECODE_ERRORS as error:
        return GenerationFailed(GenerationFailure.BROKEN, str(error))
    if not decoded.done:
        return _decode_chunk(decoded)
    if not decoded.finish_reason or decoded.completion_tokens < 0:
        return GenerationFailed(GenerationFailure.BROKEN, 'malformed end')
    return Finished(
        decoded.finish_reason,
        decoded.completion_tokens,
        decoded.prompt_tokens,
    )


def _decode_chunk(line: StreamLine) -> GenerationEvent:
    if line.index < 0 or line.tokens < 1:
        return GenerationFailed(GenerationFailure.BROKEN, 'malformed chunk')
    return Chunk(line.index, line.text, line.tokens)


def _classify_open_failure(failure: HttpFailure) -> GenerationFailure:
    if not failure.was_sent:
        return GenerationFailure.NOT_SENT
    return _classify_read_failure(failure)


def _classify_read_failure(failure: HttpFailure) -> GenerationFailure:
    if failure.is_timeout:
        return GenerationFailure.NO_PROGRESS
    return GenerationFailure.BROKEN


def _classify_status(status: int) -> GenerationFailure:
    if status == CONFLICT:
        return GenerationFailure.NOT_READY
    if status >= FIRST_SERVER_ERROR:
        return GenerationFailure.ENGINE_ERROR
    return GenerationFailure.REJECTED
