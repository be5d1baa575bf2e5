"""Drives calls at a router: streams, questions for places, time."""

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
from lagoonflow.clock import MS_PER_S
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions

MAX_QUEUED_DELIVERIES = 16

Locating = Awaitable[events.Located | events.LocateFailed]

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class RouterPorts:
    """What the calls of a router need from its other parts.

    :param locate: finds agents for a call.
    :param open_stream: sends an attempt to an agent, with the progress
        timeout in ms; yields chunks, and a refusal when the stream breaks.
    :param revoke: sends a request to revoke.
    :param cancel: sends a request to cancel; its result is not used.
    :param versions: returns the router's versions.
    :param clock_ms: monotonic time in ms, the clock of the deadlines.
    """

    locate: Callable[[CallSpec, actions.Locate], Locating]
    open_stream: OpenReplies
    revoke: Callable[[str, RevokeRequest], Awaitable[RevokeReply | Refusal]]
    cancel: Callable[[str, CancelRequest], Awaitable[Any]]
    versions: Callable[[], Versions]
    clock_ms: Callable[[], int]


class RouterCallTask:
    """Runs one call, and hands its answer to the HTTP front."""

    def __init__(
        self,
        call: RouterCall,
        spec: CallSpec,
        ports: RouterPorts,
        spawn: Callable[[Any], asyncio.Task[Any]],
    ) -> None:
        """Prepare the call; :meth:`run` drives it.

        :param spawn: starts a task that may outlive the call.
        """
        self._call = call
        self._spec = spec
        self._ports = ports
        self._spawn = spawn
        self._inbox: asyncio.Queue[events.Event] = asyncio.Queue()
        self._deliveries: asyncio.Queue[actions.Delivery] = asyncio.Queue(
            MAX_QUEUED_DELIVERIES
        )
        self._stream = CallStream(ports.open_stream, self.tell)
        self._questions: set[asyncio.Task[None]] = set()
        self._is_caller_gone = False

    async def answer(self) -> AsyncIterator[actions.Delivery]:
        """Yield the parts of the answer; the last is a finish or a refusal.

        Closing the iterator earlier means that the caller is gone.
        """
        is_last = False
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self.leave)
            while not is_last:
                delivery = await self._deliveries.get()
                is_last = actions.is_last(delivery)
                yield delivery

    def leave(self) -> None:
        """Cancel the call, if it goes on, because its caller is gone."""
        self._is_caller_gone = True
        while not self._deliveries.empty():
            self._deliveries.get_nowait()
        self.tell(events.CallerGone())

    def tell(self, event: events.Event) -> None:
        """Pass an event to the call."""
        self._inbox.put_nowait(event)

    async def run(self) -> None:
        """Drive the call to its final answer."""
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._close)
            try:
                await self._drive()
            except Exception:
                _log.exception('calls: a call failed')
                await self._deliver(actions.Refuse(_failed()))

    async def _drive(self) -> None:
        await self._perform(self._call.start())
        while not self._call.is_ended:
            event = await self._next_event()
            if isinstance(event, events.ChunkArrived):
                self._stream.release()
            now_ms = self._ports.clock_ms()
            await self._perform(self._call.handle(event, now_ms))

    async def _next_event(self) -> events.Event:
        wait_ms = self._call.next_tick_ms() - self._ports.clock_ms()
        with contextlib.suppress(asyncio.QueueEmpty):
            return self._inbox.get_nowait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0, wait_ms) / MS_PER_S):
                return await self._inbox.get()
        return events.Tick()

    async def _perform(self, decided: list[actions.Action]) -> None:
        for action in decided:
            match action:
                case actions.Locate():
                    self._ask(self._locate(action))
                case actions.OpenStream(request=request):
                    self._stream.open(action, self._stamp(request))
                case actions.Revoke():
                    self._ask(self._revoke(action))
                case actions.Cancel(agent, request):
                    stamped = self._stamp(request)
                    self._spawn(self._ports.cancel(agent, stamped))
                case _:
                    await self._deliver(action)
        if self._call.attempt is None:
            self._stream.stop()

    async def _deliver(self, delivery: actions.Delivery) -> None:
        if not self._is_caller_gone:
            await self._deliveries.put(delivery)

    def _ask(self, question: Any) -> None:
        task = asyncio.create_task(question)
        self._questions.add(task)
        task.add_done_callback(self._questions.discard)

    def _close(self) -> None:
        self._stream.stop()
        for question in self._questions:
            question.cancel()

    async def _locate(self, action: actions.Locate) -> None:
        try:
            self.tell(await self._ports.locate(self._spec, action))
        except Exception:
            _log.exception('calls: no place because of a failure')
            self.tell(events.LocateFailed(_failed()))

    async def _revoke(self, action: actions.Revoke) -> None:
        attempt = action.request.attempt
        stamped = self._stamp(action.request)
        match await self._ports.revoke(action.agent, stamped):
            case RevokeReply(state=state, nonce=nonce):
                self.tell(events.RevokeAnswered(attempt, state, nonce))
            case _:
                self.tell(events.RevokeFailed(attempt))

    def _stamp(self, request: Any) -> Any:
        return dataclasses.replace(request, versions=self._ports.versions())


def _failed() -> Refusal:
    return Refusal(Result.INTERNAL, 'the call failed', not_run=False)
