"""Requests that wait for their replies."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Generic, TypeVar

KeyT = TypeVar('KeyT')
ReplyT = TypeVar('ReplyT')


class PendingReplies(Generic[KeyT, ReplyT]):
    """Futures by key; a newer request with a key replaces the older."""

    def __init__(self) -> None:
        self._futures: dict[KeyT, asyncio.Future[ReplyT]] = {}

    @property
    def is_waiting(self) -> bool:
        """Whether a reply is expected."""
        return bool(self._futures)

    @contextlib.contextmanager
    def expect(self, key: KeyT) -> Iterator[asyncio.Future[ReplyT]]:
        """Provide a future for the reply while the context lasts."""
        future: asyncio.Future[ReplyT] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures[key] = future
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._forget, key, future)
            yield future

    def reply(self, key: KeyT, reply: ReplyT) -> None:
        """Set the reply of a request, unless nobody waits for it."""
        future = self._futures.get(key)
        if future is not None and not future.done():
            future.set_result(reply)

    def _forget(self, key: KeyT, future: asyncio.Future[ReplyT]) -> None:
        if self._futures.get(key) is future:
            self._futures.pop(key)
