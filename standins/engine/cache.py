"""Cache of prompt prefixes, whose events are late and have gaps."""

import hashlib
import time
from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import Any

from standins.engine.messages import GenerateBody
from standins.lagged import MS_PER_S

BLOCK_TOKENS = 16
BLOCK_CHARS = 64
# Every 7th event is lost, so that its readers have to cope with gaps.
LOST_EVENT_INTERVAL = 7
MAX_EVENTS = 1000
HASH_BYTES = 8

TimedEvent = tuple[float, dict[str, Any]]


class PrefixCache:
    """Keeps the most recently used blocks of prompt prefixes.

    :param blocks: number of blocks that stay cached.
    :param lag_ms: delay after which events are published, in ms.
    """

    def __init__(self, blocks: int, lag_ms: float) -> None:
        self._capacity = blocks
        self._lag_ms = lag_ms
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[TimedEvent] = deque(maxlen=MAX_EVENTS)
        self._next_event = 1

    def use(self, body: GenerateBody) -> int:
        """Cache a prompt and return how many of its tokens were cached before."""
        cached_tokens = 0
        is_prefix = True
        for block in _hash_blocks(body):
            is_prefix = is_prefix and block in self._blocks
            if is_prefix:
                cached_tokens += BLOCK_TOKENS
            self._store(block, body)
        return cached_tokens

    def events(self, after: int) -> dict[str, Any]:
        """Return the published events with numbers above `after`."""
        horizon_ms = time.monotonic() * MS_PER_S - self._lag_ms
        published = [
            event
            for at_ms, event in self._events
            if at_ms <= horizon_ms and event['number'] > after
        ]
        return {'events': published}

    def _store(self, block: str, body: GenerateBody) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._publish('stored', block, body.model)
        if len(self._blocks) > self._capacity:
            evicted = self._blocks.popitem(last=False)[0]
            self._publish('removed', evicted, '')

    def _publish(self, kind: str, block: str, model: str) -> None:
        number = self._next_event
        self._next_event += 1
        if number % LOST_EVENT_INTERVAL == 0:
            return
        event = {'number': number, 'kind': kind, 'block': block}
        now_ms = time.monotonic() * MS_PER_S
        self._events.append((now_ms, {**event, 'model': model}))


def _hash_blocks(body: GenerateBody) -> Iterator[str]:
    """Yield a hash of each complete block and all text before it."""
    identity = (body.model, body.version, body.adapter, body.adapter_version)
    chain = hashlib.blake2b(
        '\0'.join(identity).encode(), digest_size=HASH_BYTES
    )
    end = len(body.prompt) - len(body.prompt) % BLOCK_CHARS
    for start in range(0, end, BLOCK_CHARS):
        chain.update(body.prompt[start : start + BLOCK_CHARS].encode())
        yield chain.hexdigest()
