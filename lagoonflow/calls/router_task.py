"""Executes the actions of calls at a router and feeds them events."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import structlog

from lagoonflow.calls import actions, events
from lagoonflow.calls.call_stream import CallStream, OpenReplies
from lagoonflow.calls.messages import (
    CancelRequest,
    RevokeReply,
    RevokeRequest,
)
from lagoonflow.calls.router_call import RouterCall
from lagoonflow.calls.spec import CallSpec
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions
from lagoonflow.time_limits import time_limit

MAX_QUEUED_DELIVERIES = 16

LocateReply = Awaitable[events.Located | events.LocateFailed]

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class RouterPorts:
    """Functions of the router that its calls depend on.

    :param locate: finds agents that may run a call.
    :param open_stream: sends an attempt to an agent, with the progress
        timeout in ms; yields chunks, and a refusal when the stream breaks.
    :param revoke: sends an agent a request to revoke an attempt.
    :param cancel: sends an agent a request to cancel an attempt; its result
        is not used.
    :param versions: returns how far the router has read the streams of the
        log, which is sent along with each request.
    :param clock_ms: returns monotonic time in ms, on the clock of the
        deadlines.
    """

    locate: Callable[[CallSpec, actions.Locate], LocateReply]
    open_stream: OpenReplies
    revoke: Callable[[str, RevokeRequest], Awaitable[RevokeReply | Refusal]]
    cancel: Callable[[str, CancelRequest], Awaitable[Any]]
    versions: Callable[[], Versions]
    clock_ms: Callable[[], int]


class RouterCallTask:
    """Runs one call and yields its answer to the HTTP front end."""

    def __init__(
        self,
        call: RouterCall,
        spec: CallSpec,
        ports: RouterPorts,
        spawn: Callable[[Any], asyncio.Task[Any]],
    ) -> None:
        """Prepare the task; :meth:`run` runs the call.

        :param spawn: starts a background task that may outlive the call.
        """
        self._call = call
        self._spec = spec
        self._ports = ports
        self._spawn = spawn
        self._inbox: asyncio.Queue[events.Event] = asyncio.Queue()
        self._deliveries: asyncio.Queue[actions.Delivery] = asyncio.Queue(
            MAX_QUEUED_DELIVERIES
        )
        self._stream = CallStream(ports.open_stream, self.post_event)
        self._requests: set[asyncio.Task[None]] = set()
        self._is_caller_gone = False

    async def answer(self) -> AsyncIterator[actions.Delivery]:
        """Yield the parts of the answer; the last is a finish or a refusal.

        Closing the iterator before that cancels the call.
        """
        is_last = False
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self.on_caller_gone)
            while not is_last:
                delivery = await self._deliveries.get()
                is_last = actions.is_last(delivery)
                yield delivery

    def on_caller_gone(self) -> None:
        """Drop undelivered parts, and cancel the call if it still runs."""
        self._is_caller_gone = True
        while not self._deliveries.empty():
            self._deliveries.get_nowait()
        self.post_event(events.CallerGone())

    def post_event(self, event: events.Event) -> None:
        """Queue an event for the call."""
        self._inbox.put_nowait(event)

    async def run(self) -> None:
        """Run the call until it has its final answer."""
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._close)
            try:
                await self._run_call()
            except Exception:
                _log.exception('calls: a call ended with an unexpected error')
                await self._deliver(actions.Refuse(_failed()))

    async def _run_call(self) -> None:
        await self._execute_actions(self._call.start())
        while not self._call.is_ended:
            event = await self._next_event()
            if isinstance(event, events.ChunkArrived):
                self._stream.release()
            now_ms = self._ports.clock_ms()
            await self._execute_actions(self._call.handle(event, now_ms))

    async def _next_event(self) -> events.Event:
        wait_ms = self._call.next_tick_ms() - self._ports.clock_ms()
        with contextlib.suppress(asyncio.QueueEmpty):
            return self._inbox.get_nowait()
        with contextlib.suppress(TimeoutError):
            async with time_limit(max(0, wait_ms), counts_stalls=True):
                return await self._inbox.get()
        return events.Tick()

    async def _execute_actions(self, decided: list[actions.Action]) -> None:
        for action in decided:
            match action:
                case actions.Locate():
                    self._start_request(self._locate(action))
                case actions.OpenStream(request=request):
                    self._stream.open(action, self._with_versions(request))
                case actions.Revoke():
                    self._start_request(self._revoke(action))
                case actions.Cancel(agent, request):
                    versioned_request = self._with_versions(request)
                    self._spawn(self._ports.cancel(agent, versioned_request))
                case _:
                    await self._deliver(action)
        if self._call.attempt is None:
            self._stream.stop()

    async def _deliver(self, delivery: actions.Delivery) -> None:
        if not self._is_caller_gone:
            await self._deliveries.put(delivery)

    def _start_request(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    def _close(self) -> None:
        self._stream.stop()
        for task in self._requests:
            task.cancel()

    async def _locate(self, action: actions.Locate) -> None:
        try:
            self.post_event(await self._ports.locate(self._spec, action))
        except Exception:
            _log.exception('calls: looking for agents failed')
            self.post_event(events.LocateFailed(_failed()))

    async def _revoke(self, action: actions.Revoke) -> None:
        attempt = action.request.attempt
        versioned_request = self._with_versions(action.request)
        match await self._ports.revoke(action.agent, versioned_request):
            case RevokeReply(state=state, nonce=nonce):
                self.post_event(events.RevokeAnswered(attempt, state, nonce))
            case _:
                self.post_event(events.RevokeFailed(attempt))

    def _with_versions(self, request: Any) -> Any:
        return dataclasses.replace(request, versions=self._ports.versions())


def _failed() -> Refusal:
    return Refusal(
        Result.INTERNAL, 'the call ended with an internal error', not_run=False
    )
