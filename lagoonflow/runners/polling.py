"""Polls the listing of an engine, more often while changes are pending."""

import asyncio
import contextlib
from collections.abc import Callable

from lagoonflow.clock import Clock
from lagoonflow.runners.engine_messages import Listing
from lagoonflow.runners.events import EnginePort

PENDING_POLL_S = 0.03
IDLE_POLL_S = 5
UNREACHABLE_POLL_S = 0.2

OnListing = Callable[[Listing | None, int], None]


class ListingPoller:
    """Fetches listings until cancelled.

    :param on_listing: called with each listing and when it was requested,
        in ms; the listing is ``None`` when the engine did not answer.
    :param has_pending_changes: tells whether a listing is needed to learn
        the outcome of a change.
    """

    def __init__(
        self,
        engine: EnginePort,
        clock: Clock,
        on_listing: OnListing,
        has_pending_changes: Callable[[], bool],
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._on_listing = on_listing
        self._has_pending_changes = has_pending_changes
        self._poll_requested = asyncio.Event()

    def poll_soon(self) -> None:
        """Fetch a listing soon."""
        self._poll_requested.set()

    async def run(self) -> None:
        """Fetch listings until cancelled."""
        while True:
            requested_at_ms = self._clock()
            listing = await self._engine.listing()
            self._on_listing(listing, requested_at_ms)
            if listing is None:
                await asyncio.sleep(UNREACHABLE_POLL_S)
            else:
                await self._wait_for_next_poll()

    async def _wait_for_next_poll(self) -> None:
        self._poll_requested.clear()
        if self._has_pending_changes():
            await asyncio.sleep(PENDING_POLL_S)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_POLL_S):
                await self._poll_requested.wait()
