"""Simple continuous batching of running and queued sequences."""

import asyncio
import contextlib
import dataclasses
import heapq
import itertools
import time
from collections.abc import AsyncIterator
from typing import Any

from standins.engine.cache import PrefixCache
from standins.engine.messages import GenerateBody
from standins.engine.settings import EngineSettings
from standins.lagged import MS_PER_S, LaggedValue
from standins.tokens import TokenSource, count_tokens, expected_tokens

MIN_STEP_S = 0.01
US_PER_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load of an engine at one time.

    :param running: number of running sequences.
    :param queued: number of waiting sequences.
    """

    running: int = 0
    queued: int = 0


class Sequence:
    """One answer that is being generated.

    :param body: the request.
    :ivar is_stalled: whether its stream sends nothing more and stays open.
    :ivar admitted: set when the sequence may run.
    """

    def __init__(self, body: GenerateBody) -> None:
        self.body = body
        self.is_cancelled = False
        self.is_stalled = False
        self.admitted = asyncio.Event()
        self.next_index = body.from_token
        self.end_index = expected_tokens(body.prompt, body.max_tokens)
        self._source = TokenSource(
            body.model,
            body.version,
            body.adapter,
            body.adapter_version,
            body.prompt,
        )

    def cancel(self) -> None:
        """Stop the sequence at its next step, also if it is waiting."""
        self.is_cancelled = True
        self.admitted.set()

    def generate(self, tokens: int) -> dict[str, Any]:
        """Generate the next tokens as one line of the stream."""
        start = self.next_index
        self.next_index = min(self.end_index, start + tokens)
        text = self._source.text(start, self.next_index)
        return {
            'index': start,
            'text': text,
            'tokens': self.next_index - start,
        }

    def last_line(self) -> dict[str, Any]:
        """Return the line that ends the stream."""
        is_at_limit = self.end_index == self.body.max_tokens
        reason = 'length' if is_at_limit else 'stop'
        return {
            'done': True,
            'finish_reason': 'cancelled' if self.is_cancelled else reason,
            'completion_tokens': self.next_index,
            'prompt_tokens': count_tokens(self.body.prompt),
        }


class Batch:
    """Runs sequences at a shared speed and queues those beyond the limit.

    :param settings: settings of the engine.
    :param cache: cache of prompt prefixes.
    """

    def __init__(self, settings: EngineSettings, cache: PrefixCache) -> None:
        self.report: LaggedValue[Load] = LaggedValue(
            Load(),
            settings.report_lag_ms,
        )
        self._settings = settings
        self._cache = cache
        self._running: set[Sequence] = set()
        self._queue: list[tuple[int, int, Sequence]] = []
        self._arrivals = itertools.count()

    def open_sequences(self) -> list[Sequence]:
        """Return the sequences that run or wait."""
        return [*self._running, *(entry[2] for entry in self._queue)]

    def cancel(self, request_id: str) -> bool:
        """Cancel the sequences of a request; return whether there were any."""
        sequences = [
            sequence
            for sequence in self.open_sequences()
            if sequence.body.request_id == request_id
        ]
        for sequence in sequences:
            sequence.cancel()
        return bool(sequences)

    def cancel_replica(
        self,
        model: str,
        version: str,
        adapter: tuple[str, str] | None = None,
    ) -> None:
        """Cancel the sequences of a replica, or only those of one adapter."""
        for sequence in self.open_sequences():
            body = sequence.body
            uses = (body.adapter, body.adapter_version)
            is_affected = adapter is None or adapter == uses
            if is_affected and (body.model, body.version) == (model, version):
                sequence.cancel()

    async def run(self, sequence: Sequence) -> AsyncIterator[dict[str, Any]]:
        """Yield the lines of one sequence as they are generated."""
        self._enqueue(sequence)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._remove, sequence)
            await sequence.admitted.wait()
            await self._prefill(sequence)
            async for line in self._decode(sequence):
                yield line
        yield sequence.last_line()

    async def _prefill(self, sequence: Sequence) -> None:
        if sequence.is_cancelled:
            return
        body = sequence.body
        cached = self._cache.use(body)
        tokens = max(0, count_tokens(body.prompt) - cached) + body.from_token
        prefill_ms = tokens * self._settings.prefill_us_per_token / US_PER_MS
        await self._settings.sleep(self._settings.first_token_ms + prefill_ms)

    async def _decode(
        self,
        sequence: Sequence,
    ) -> AsyncIterator[dict[str, Any]]:
        due_tokens = 1.0
        last_s = time.monotonic()
        while not sequence.is_cancelled:
            if due_tokens >= 1 and sequence.next_index < sequence.end_index:
                yield sequence.generate(int(due_tokens))
                due_tokens -= int(due_tokens)
            if sequence.next_index >= sequence.end_index:
                return
            rate = self._tokens_per_s()
            await asyncio.sleep(max((1 - due_tokens) / rate, MIN_STEP_S))
            now_s = time.monotonic()
            due_tokens += rate * (now_s - last_s)
            last_s = now_s

    def _tokens_per_s(self) -> float:
        share = min(1, self._settings.batch_size / max(1, len(self._running)))
        scale = self._settings.time_scale
        return self._settings.tokens_per_s * scale * share

    def _enqueue(self, sequence: Sequence) -> None:
        entry = (sequence.body.priority, next(self._arrivals), sequence)
        heapq.heappush(self._queue, entry)
        self._admit()

    def _remove(self, sequence: Sequence) -> None:
        self._running.discard(sequence)
        self._queue = [one for one in self._queue if one[2] is not sequence]
        heapq.heapify(self._queue)
        self._admit()

    def _admit(self) -> None:
        limit = self._settings.max_running
        while self._queue and len(self._running) < limit:
            sequence = heapq.heappop(self._queue)[2]
            self._running.add(sequence)
            sequence.admitted.set()
        self.report.put(Load(len(self._running), len(self._queue)))


def show_load(report: LaggedValue[Load], lag_ms: float) -> dict[str, Any]:
    """Return the load report, which lags by `lag_ms`."""
    load = report.get()
    return {
        'running': load.running,
        'queued': load.queued,
        'as_of_ms': int(time.time() * MS_PER_S - lag_ms),
    }
