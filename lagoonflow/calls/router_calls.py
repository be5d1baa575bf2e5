"""The open calls of a router."""

import asyncio
import itertools
from typing import Any

from lagoonflow.calls.events import AgentGone
from lagoonflow.calls.policy import CallPolicy
from lagoonflow.calls.router_call import RouterCall
from lagoonflow.calls.router_task import RouterCallTask, RouterPorts
from lagoonflow.calls.spec import CallSpec


class RouterCalls:
    """Starts calls and passes them the events that concern all of them."""

    def __init__(
        self, ports: RouterPorts, policy: CallPolicy | None = None
    ) -> None:
        """Start without calls."""
        self._ports = ports
        self._policy = policy or CallPolicy()
        self._sequences = itertools.count(1)
        self._open: dict[asyncio.Task[Any], RouterCallTask] = {}
        self._background: set[asyncio.Task[Any]] = set()

    @property
    def open_count(self) -> int:
        """Number of calls that have no final answer yet."""
        return len(self._open)

    def start(self, spec: CallSpec) -> RouterCallTask:
        """Start a call and return the task that yields its answer."""
        now_ms = self._ports.clock_ms()
        call = RouterCall(spec, self._policy, now_ms, self._sequences)
        call_task = RouterCallTask(call, spec, self._ports, self._spawn)
        task = asyncio.create_task(call_task.run())
        self._open[task] = call_task
        task.add_done_callback(self._open.pop)
        return call_task

    def on_agent_gone(self, agent: str, nonce: str) -> None:
        """Notify all calls that an agent process has left the roster.

        :param agent: name of the agent.
        :param nonce: identifies the agent process.
        """
        for call_task in self._open.values():
            call_task.post_event(AgentGone(agent, nonce))

    async def drain(self) -> None:
        """Wait until all calls have ended and their last requests are sent."""
        while self._open or self._background:
            await asyncio.wait([*self._open, *self._background])

    def _spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task
