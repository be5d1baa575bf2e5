"""Matches replies to the requests that wait for them."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Generic, TypeVar

KeyT = TypeVar('KeyT')
ReplyT = TypeVar('ReplyT')


class PendingReplies(Generic[KeyT, ReplyT]):
    """Futures of pending replies by the key of the request.

    A newer request with the same key replaces the older one, which then gets
    no reply.
    """

    def __init__(self) -> None:
        self._futures: dict[KeyT, asyncio.Future[ReplyT]] = {}

    @property
    def is_waiting(self) -> bool:
        """Whether any request waits for a reply."""
        return bool(self._futures)

    @contextlib.contextmanager
    def expect(self, key: KeyT) -> Iterator[asyncio.Future[ReplyT]]:
        """Provide a future of the reply, for as long as the context lasts."""
        future: asyncio.Future[ReplyT] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures[key] = future
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._remove, key, future)
            yield future

    def reply(self, key: KeyT, reply: ReplyT) -> None:
        """Pass a reply to the request that waits for it, if any does."""
        future = self._futures.get(key)
        if future is not None and not future.done():
            future.set_result(reply)

    def _remove(self, key: KeyT, future: asyncio.Future[ReplyT]) -> None:
        if self._futures.get(key) is future:
            self._futures.pop(key)
