"""Cache of prompt prefixes with late, incomplete events."""

import hashlib
import time
from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import Any

from standins.engine.messages import GenerateBody
from standins.lagged import MS_PER_S

BLOCK_TOKENS = 16
BLOCK_CHARS = 64
GAP_EVERY = 7
EVENTS_KEPT = 1000
HASH_BYTES = 8

TimedEvent = tuple[float, dict[str, Any]]


class PrefixCache:
    """Least-recently-used blocks of prompt prefixes.

    :param blocks: blocks that stay cached.
    :param lag_ms: how late events are published, in ms.
    """

    def __init__(self, blocks: int, lag_ms: float) -> None:
        self._limit = blocks
        self._lag_ms = lag_ms
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[TimedEvent] = deque(maxlen=EVENTS_KEPT)
        self._next_event = 1

    def use(self, body: GenerateBody) -> int:
        """Cache a prompt; returns how many of its tokens were cached."""
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
        if len(self._blocks) > self._limit:
            evicted = self._blocks.popitem(last=False)[0]
            self._publish('removed', evicted, '')

    def _publish(self, kind: str, block: str, model: str) -> None:
        number = self._next_event
        self._next_event += 1
        if number % GAP_EVERY == 0:
            return
        event = {'number': number, 'kind': kind, 'block': block}
        now_ms = time.monotonic() * MS_PER_S
        self._events.append((now_ms, {**event, 'model': model}))


def _hash_blocks(body: GenerateBody) -> Iterator[str]:
    """Hash each whole block together with all text before it."""
    root = (body.model, body.version, body.adapter, body.adapter_version)
    chain = hashlib.blake2b('\0'.join(root).encode(), digest_size=HASH_BYTES)
    whole = len(body.prompt) - len(body.prompt) % BLOCK_CHARS
    for start in range(0, whole, BLOCK_CHARS):
        chain.update(body.prompt[start : start + BLOCK_CHARS].encode())
        yield chain.hexdigest()
