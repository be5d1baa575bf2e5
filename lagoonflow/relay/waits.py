"""Waits for answers that have not begun, and when to abort them."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from lagoonflow.backends.liveness import HostLiveness
from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.http1.channel import Channel
from lagoonflow.relay.admission import AdmittedCall
from lagoonflow.relay.replacement import ReplacementSearch
from lagoonflow.relay.timers import move_timeout
from lagoonflow.relay.transfers import extend_during_transfer
from lagoonflow.time_limits import time_limit

# A host that has sent nothing for this long is paused or unreachable: its agent
# repeats its state each 500 ms, and two in a row may be lost.
HOST_SILENT_MS = 1800
# The wait for a silent host to answer a request that may not be sent again is
# aborted this long before the caller gives up.
CALLER_LEAVES_MARGIN_MS = 200
# A request that may be sent again waits for this share of its remaining time
# for an answer to begin; then another server is looked for.
FIRST_SEND_TIME_SHARE = 0.45


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTimeout:
    """How long to wait for an answer to begin.

    :param timeout_ms: time in ms after which another server is looked for.
    :param may_retry: the call may be sent to another server afterwards.
    :param search: looks for that server. Until it has reserved one, the wait
        goes on.
    """

    timeout_ms: float
    may_retry: bool
    search: ReplacementSearch


def answer_timeout_ms(left_ms: float, may_retry: bool) -> float:
    """Return how long an answer may take to begin, in ms.

    :param left_ms: time until the caller's deadline, in ms.
    :param may_retry: whether time is left for another send.
    """
    if may_retry:
        return left_ms * FIRST_SEND_TIME_SHARE
    return left_ms + MS_PER_S


class _Wait:
    """One request that waits for a server's answer.

    :ivar timer: timeout of the wait, which goes on after it until another
        server is reserved.
    """

    def __init__(
        self,
        liveness: HostLiveness,
        admitted: AdmittedCall,
        instance: str,
        answer_timeout: AnswerTimeout,
    ) -> None:
        self._liveness = liveness
        self._admitted = admitted
        self._instance = instance
        self._search = answer_timeout.search
        self._may_retry = answer_timeout.may_retry
        # The search goes on by itself once it has begun.
        self._is_aborted = False
        self._began_ms = boottime_ms()
        self._due_ms = self._began_ms + answer_timeout.timeout_ms
        self.timer = time_limit(
            answer_timeout.timeout_ms, before_end=self._before_end
        )

    def restart(self) -> float:
        """Return the time in ms of the wait that begins anew now."""
        self._is_aborted = False
        self.end()
        now_ms = boottime_ms()
        left_ms = answer_timeout_ms(
            self._admitted.time_left_ms(now_ms), self._may_retry
        )
        self._due_ms = now_ms + left_ms
        return left_ms

    def abort(self, now_ms: float) -> None:
        """End the wait, or look for another server, if its host is silent."""
        may_end = self._may_leave(now_ms) or self._is_hopeless(now_ms)
        if may_end and not self._is_aborted:
            self._is_aborted = True
            move_timeout(self.timer, asyncio.get_running_loop().time())

    def end(self) -> None:
        """End the search for another server."""
        self._search.end(self._began_ms)

    def _is_hopeless(self, now_ms: float) -> bool:
        """Return whether the host is silent and the caller about to leave."""
        left_ms = self._admitted.start_time_left_ms(now_ms)
        return self._is_silent(now_ms) and left_ms < CALLER_LEAVES_MARGIN_MS

    def _may_leave(self, now_ms: float) -> bool:
        return self._may_retry and self._is_silent(now_ms)

    def _is_silent(self, now_ms: float) -> bool:
        silence_ms = self._liveness.silent_for_ms(self._instance, now_ms)
        return silence_ms >= HOST_SILENT_MS

    def _before_end(self) -> float:
        now_ms = boottime_ms()
        if self._is_hopeless(now_ms):
            return 0
        if now_ms < self._due_ms and not self._may_leave(now_ms):
            self._is_aborted = False
            self.end()
            return self._due_ms - now_ms
        return self._search.look()


class AnswerWaits:
    """Aborts waits for answers from hosts that have fallen silent."""

    def __init__(self, liveness: HostLiveness) -> None:
        """Start without waits."""
        self._liveness = liveness
        self._waits: dict[int, _Wait] = {}

    @contextlib.asynccontextmanager
    async def limit(
        self,
        admitted: AdmittedCall,
        instance: str,
        channel: Channel,
        answer_timeout: AnswerTimeout,
    ) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` when another server is to be sent to instead.

        The context begins with writing the request. It can be aborted.

        :param channel: connection to the server.
        """
        wait = _Wait(self._liveness, admitted, instance, answer_timeout)
        async with wait.timer:
            self._waits[id(wait)] = wait
            request_bytes = len(admitted.call.body)
            try:
                async with extend_during_transfer(
                    channel, request_bytes, wait.timer, wait.restart
                ):
                    yield
            finally:
                self._waits.pop(id(wait))
                wait.end()

    def abort_waits_on_silent_hosts(self, now_ms: float) -> None:
        """Abort waits for answers from hosts that have fallen silent.

        A request that may run again is then sent to another server that can
        take it. Other waits are aborted only shortly before the caller gives
        up, as the host may recover in time.
        """
        for wait in self._waits.values():
            wait.abort(now_ms)
