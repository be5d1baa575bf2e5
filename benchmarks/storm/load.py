"""Sends arrivals to routers at their times."""

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
    """What a router answered to one request.

    :param is_whole: whether the whole right answer arrived.
    :param code: result code name of a refusal.
    :param is_wrong: whether a text arrived that is not the right one.
    """

    first_token_ms: float | None
    total_ms: float
    is_whole: bool
    code: str = ''
    is_wrong: bool = False


Send = Callable[[Arrival], Awaitable[Answer]]


async def replay(
    arrivals: Sequence[Arrival],
    send: Send,
    watcher: EngineWatcher,
) -> list[Outcome]:
    """Send each arrival at its time; wait for all answers."""
    started_s = time.monotonic()
    tasks = []
    for arrival in arrivals:
        delay_s = started_s + arrival.at_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        tasks.append(asyncio.create_task(_send(arrival, send, watcher)))
    return await asyncio.gather(*tasks)


async def _send(
    arrival: Arrival, send: Send, watcher: EngineWatcher
) -> Outcome:
    was_cold = not watcher.is_ready(arrival.model, arrival.adapter)
    answer = await send(arrival)
    return Outcome(
        arrival=arrival,
        first_token_ms=answer.first_token_ms,
        total_ms=answer.total_ms,
        is_whole=answer.is_whole,
        was_cold=was_cold,
        code=answer.code,
        is_wrong=answer.is_wrong,
    )


class RouterClient:
    """Sends requests to lagoonflow's routers as a caller."""

    def __init__(self, routers: Sequence[str], keys: dict[str, str]) -> None:
        self._clients = [HttpClient(one, 4096) for one in routers]
        self._keys = keys

    async def send(self, arrival: Arrival) -> Answer:
        """Send one request and read its whole answer."""
        begun_s = time.monotonic()
        body = {
            'model': arrival.name,
            'messages': [{'role': 'user', 'content': arrival.prompt}],
            'max_tokens': arrival.max_tokens,
            'stream': True,
        }
        stream = await self._clients[arrival.router].open(
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
        if not hasattr(stream, 'read'):
            return Answer(None, 0, False, 'LOST')
        reading = _Reading(begun_s)
        while True:
            piece = await stream.read(PROGRESS_TIMEOUT_MS)
            if not isinstance(piece, bytes) or not piece:
                break
            reading.add(piece)
        await stream.aclose()
        return reading.answer(arrival, stream.status)


class _Reading:
    """The parts of one streamed answer."""

    def __init__(self, begun_s: float) -> None:
        self._begun_s = begun_s
        self._first_s: float | None = None
        self._content = bytearray()

    def add(self, piece: bytes) -> None:
        if self._first_s is None:
            self._first_s = time.monotonic()
        self._content += piece

    def answer(self, arrival: Arrival, status: int) -> Answer:
        total_ms = (time.monotonic() - self._begun_s) * 1000
        if status != OK:
            return Answer(None, total_ms, False, _code(bytes(self._content)))
        texts: list[str] = []
        is_done = False
        code = ''
        for line in self._content.decode().splitlines():
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
        is_right = text == self._expected(arrival)
        first_ms = None
        if self._first_s is not None:
            first_ms = (self._first_s - self._begun_s) * 1000
        return Answer(
            first_ms,
            total_ms,
            is_done and is_right,
            code or ('' if is_done else 'LOST'),
            is_wrong=is_done and not is_right,
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


def _code(body: bytes) -> str:
    try:
        return msgspec.json.decode(body)['error']['name']
    except (msgspec.DecodeError, KeyError, TypeError):
        return 'LOST'
