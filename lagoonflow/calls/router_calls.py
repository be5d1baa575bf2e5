"""All calls that are open at a router."""

import asyncio
import itertools
from typing import Any

from lagoonflow.calls.events import AgentGone
from lagoonflow.calls.policy import CallPolicy
from lagoonflow.calls.router_call import RouterCall
from lagoonflow.calls.router_task import RouterCallTask, RouterPorts
from lagoonflow.calls.spec import CallSpec


class RouterCalls:
    """Starts calls, and tells them what concerns many of them."""

    def __init__(
        self, ports: RouterPorts, policy: CallPolicy | None = None
    ) -> None:
        """Start with no call."""
        self._ports = ports
        self._policy = policy or CallPolicy()
        self._sequences = itertools.count(1)
        self._open: dict[asyncio.Task[Any], RouterCallTask] = {}
        self._background: set[asyncio.Task[Any]] = set()

    @property
    def open_count(self) -> int:
        """Number of calls without final answer."""
        return len(self._open)

    def start(self, spec: CallSpec) -> RouterCallTask:
        """Start a call, whose answer the returned task yields."""
        now_ms = self._ports.clock_ms()
        call = RouterCall(spec, self._policy, now_ms, self._sequences)
        call_task = RouterCallTask(call, spec, self._ports, self._spawn)
        task = asyncio.create_task(call_task.run())
        self._open[task] = call_task
        task.add_done_callback(self._open.pop)
        return call_task

    def on_agent_gone(self, agent: str, nonce: str) -> None:
        """Tell all calls that the roster has dropped an agent process."""
        for call_task in self._open.values():
            call_task.tell(AgentGone(agent, nonce))

    async def drain(self) -> None:
        """Wait for all open calls, and for what they still send."""
        while self._open or self._background:
            await asyncio.wait([*self._open, *self._background])

    def _spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task
