"""Replays arrivals: sends each request at its time and checks the answer."""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from benchmarks.storm.arrivals import Arrival
from benchmarks.storm.outcomes import Outcome
from benchmarks.storm.world import EngineWatcher
from lagoonflow.clients.http import HttpClient, HttpRequest
from standins.tokens import expected_text

OK = 200
DONE = '[DONE]'
PROGRESS_TIMEOUT_MS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one request.

    :param first_token_ms: time to the first token; None if none arrived.
    :param total_ms: time to the end of the answer.
    :param is_complete: whether the expected answer arrived to its end.
    :param code: name of the result code if the request was refused or failed.
    :param has_wrong_text: whether an answer ended but differs from the
        expected one.
    """

    first_token_ms: float | None
    total_ms: float
    is_complete: bool
    code: str = ''
    has_wrong_text: bool = False


SendRequest = Callable[[Arrival], Awaitable[Answer]]


async def replay(
    arrivals: Sequence[Arrival],
    send: SendRequest,
    watcher: EngineWatcher,
) -> list[Outcome]:
    """Send each request at its time and wait for all answers."""
    started_s = time.monotonic()
    tasks = []
    for arrival in arrivals:
        delay_s = started_s + arrival.at_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        tasks.append(
            asyncio.create_task(_send_and_record(arrival, send, watcher))
        )
    return await asyncio.gather(*tasks)


async def _send_and_record(
    arrival: Arrival, send: SendRequest, watcher: EngineWatcher
) -> Outcome:
    was_cold = not watcher.is_ready(arrival.model, arrival.adapter)
    answer = await send(arrival)
    return Outcome(
        arrival=arrival,
        first_token_ms=answer.first_token_ms,
        total_ms=answer.total_ms,
        is_complete=answer.is_complete,
        was_cold=was_cold,
        code=answer.code,
        has_wrong_text=answer.has_wrong_text,
    )


class RouterClient:
    """Sends requests to lagoonflow's routers as a caller."""

    def __init__(self, routers: Sequence[str], keys: dict[str, str]) -> None:
        self._clients = [HttpClient(address, 4096) for address in routers]
        self._keys = keys

    async def send(self, arrival: Arrival) -> Answer:
        """Send one request and read its whole answer."""
        started_s = time.monotonic()
        body = {
            'model': arrival.name,
            'messages': [{'role': 'user', 'content': arrival.prompt}],
            'max_tokens': arrival.max_tokens,
            'stream': True,
        }
        response = await self._clients[arrival.router].open(
            HttpRequest(
                'POST',
                '/v1/chat/completions',
                (
                    ('content-type', 'application/json'),
                    (
                        'authorization',
                        f'Bearer {self._keys[arrival.organisation]}',
                    ),
                    ('lagoonflow-deadline-ms', str(arrival.deadline_ms)),
                ),
                msgspec.json.encode(body),
                timeout_ms=arrival.deadline_ms + PROGRESS_TIMEOUT_MS,
            ),
        )
        if not hasattr(response, 'read'):
            return Answer(None, 0, False, 'LOST')
        streamed = _StreamedAnswer(started_s)
        while True:
            chunk = await response.read(PROGRESS_TIMEOUT_MS)
            if not isinstance(chunk, bytes) or not chunk:
                break
            streamed.add_chunk(chunk)
        await response.aclose()
        return streamed.answer(arrival, response.status)


class _StreamedAnswer:
    """Collects one streamed answer and checks it."""

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._first_chunk_s: float | None = None
        self._body = bytearray()

    def add_chunk(self, chunk: bytes) -> None:
        if self._first_chunk_s is None:
            self._first_chunk_s = time.monotonic()
        self._body += chunk

    def answer(self, arrival: Arrival, status: int) -> Answer:
        total_ms = (time.monotonic() - self._started_s) * 1000
        if status != OK:
            return Answer(None, total_ms, False, _error_name(bytes(self._body)))
        texts: list[str] = []
        is_done = False
        code = ''
        for line in self._body.decode().splitlines():
            if not line.startswith('data: '):
                continue
            data = line.removeprefix('data: ')
            if data == DONE:
                is_done = True
                continue
            event = msgspec.json.decode(data)
            if 'error' in event:
                code = event['error']['name']
                continue
            texts.append(event['choices'][0]['delta'].get('content', ''))
        text = ''.join(texts)
        is_expected = text == self._expected(arrival)
        first_ms = None
        if self._first_chunk_s is not None:
            first_ms = (self._first_chunk_s - self._started_s) * 1000
        return Answer(
            first_ms,
            total_ms,
            is_done and is_expected,
            code or ('' if is_done else 'LOST'),
            has_wrong_text=is_done and not is_expected,
        )

    def _expected(self, arrival: Arrival) -> str:
        return expected_text(
            arrival.model,
            'v1',
            arrival.adapter,
            'v1' if arrival.adapter else '',
            f'user: {arrival.prompt}',
            arrival.max_tokens,
        )


def _error_name(body: bytes) -> str:
    try:
        return msgspec.json.decode(body)['error']['name']
    except (msgspec.DecodeError, KeyError, TypeError):
        return 'LOST'
