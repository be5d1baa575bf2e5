"""Pulls missing records from a peer, one request at a time."""

import asyncio
from collections.abc import Callable

import structlog

from lagoonflow.streams.messages import PullReply, PullRequest
from lagoonflow.streams.ports import Pull

MAX_PULL_ROUNDS = 100
PULL_FAILED = 'streams: a peer did not send the missing records'

logger = structlog.get_logger()


class PeerPuller:
    """Runs at most one pull at a time.

    :param request: returns the request for the records missing now.
    :param apply_reply: applies a reply; returns whether it changed the state.
    """

    def __init__(
        self,
        request: Callable[[], PullRequest],
        apply_reply: Callable[[PullReply], bool],
    ) -> None:
        self._request = request
        self._apply_reply = apply_reply
        self._task: asyncio.Task[None] | None = None

    def start(self, pull: Pull | None) -> None:
        """Start a pull, unless one is running or there is no peer."""
        is_running = self._task is not None and not self._task.done()
        if pull is not None and not is_running:
            self._task = asyncio.create_task(self._pull_all(pull))

    def stop(self) -> None:
        """Cancel the pull that is running, if any."""
        if self._task is not None:
            self._task.cancel()

    async def _pull_all(self, pull: Pull) -> None:
        try:
            for _ in range(MAX_PULL_ROUNDS):
                reply = await pull(self._request())
                if reply is None or not self._apply_reply(reply):
                    return
        except (OSError, TimeoutError) as error:
            logger.info(PULL_FAILED, error=repr(error))
