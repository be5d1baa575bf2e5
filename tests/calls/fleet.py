"""Two agents with fake engines behind relays, and the calls of a router."""

import asyncio
import contextlib
import dataclasses
import time

from lagoonflow.calls import actions
from lagoonflow.calls.agent_calls import AgentCalls, AgentPorts
from lagoonflow.calls.events import Located
from lagoonflow.calls.executor import Finished, Started, TextProduced
from lagoonflow.calls.grpc_ports import AgentClient, agent_routes
from lagoonflow.calls.messages import Finish, Generation, Usage
from lagoonflow.calls.policy import CallPolicy
from lagoonflow.calls.router_calls import RouterCalls
from lagoonflow.calls.router_task import RouterPorts
from lagoonflow.calls.spec import CallSpec, Candidate
from lagoonflow.clock import boottime_ms
from lagoonflow.streams.messages import Versions
from lagoonflow.wire.channel_pool import Endpoint
from lagoonflow.wire.connection_settings import ConnectionSettings
from lagoonflow.wire.grpc_server import GrpcServer
from lagoonflow.wire.peer_client import PeerClient
from loopback.relay import Relay

POLICY = CallPolicy(
    keep_alive_ms=50, progress_timeout_ms=300, least_progress_timeout_ms=300
)
NAMES = ('agent-1', 'agent-2')


async def wait_until(condition, timeout_s=5):
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


class FakeEngine:
    """Executor that produces numbered tokens and records what it runs.

    Attempts wait until ``gate`` is set.
    """

    def __init__(self, token_ms=5):
        self.token_ms = token_ms
        self.gate = asyncio.Event()
        self.gate.set()
        self.started = []
        self.produced = 0
        self.cancelled = set()
        self.waiting = set()

    async def run(self, request):
        self.waiting.add(request.attempt)
        await self.gate.wait()
        self.waiting.discard(request.attempt)
        self.started.append(request.attempt)
        yield Started()
        generation = request.generation
        for index in range(generation.from_token, generation.max_tokens):
            if request.attempt in self.cancelled:
                return
            await asyncio.sleep(self.token_ms / 1000)
            self.produced += 1
            yield TextProduced(f'{index} ', 1)
        yield Finished(Finish('length', Usage(1, generation.max_tokens)))

    def withdraw(self, attempt):
        if attempt not in self.waiting:
            return False
        self.waiting.discard(attempt)
        return True

    def cancel(self, attempt):
        self.cancelled.add(attempt)


@dataclasses.dataclass
class Agent:
    engine: FakeEngine
    calls: AgentCalls
    server: GrpcServer
    relay: Relay


class Fleet:
    """Two agents that serve gRPC, and the calls of a router."""

    def __init__(self, policy=POLICY):
        self.policy = policy
        self.agents = {}
        self.peers = PeerClient(self.endpoint, ConnectionSettings())
        agent_client = AgentClient(self.peers)
        ports = RouterPorts(
            locate=self.locate,
            open_stream=agent_client.open_stream,
            revoke=agent_client.revoke,
            cancel=agent_client.cancel,
            versions=lambda: Versions(1, 2),
            clock_ms=boottime_ms,
        )
        self.router = RouterCalls(ports, policy)
        self._numbers = 0

    def endpoint(self, name):
        host, port = self.agents[name].relay.address.split(':')
        return Endpoint(host, int(port))

    async def locate(self, spec, action):
        usable = [name for name in NAMES if name not in action.stale_agents]
        candidates = [Candidate(name, f'{name}/1') for name in usable]
        return Located(tuple(candidates))

    async def start_agent(self, name):
        engine = FakeEngine()
        ports = AgentPorts(lambda _: None, Versions, boottime_ms, engine)
        calls = AgentCalls(f'{name}/1', ports, self.policy)
        server = GrpcServer(agent_routes(calls))
        port = await server.start('127.0.0.1', 0)
        relay = Relay(f'127.0.0.1:{port}')
        self.agents[name] = Agent(engine, calls, server, relay)

    async def close(self):
        self.peers.close()
        for agent in self.agents.values():
            agent.relay.close()
            with contextlib.suppress(RuntimeError):
                await agent.server.close()

    def start(self, tokens=40, deadline_in_ms=3000):
        self._numbers += 1
        spec = CallSpec(
            f'request-{self._numbers}',
            'router',
            'organisation',
            'key',
            boottime_ms() + deadline_in_ms,
            generation=Generation('model', '', 'prompt', tokens),
            router_nonce='router/1',
        )
        return self.router.start(spec)


@contextlib.asynccontextmanager
async def running_fleet(policy=POLICY):
    fleet = Fleet(policy)
    for name in NAMES:
        await fleet.start_agent(name)
    try:
        yield fleet
    finally:
        await fleet.close()


async def collect(call, on_tokens=0, act=None):
    """Read an answer to its end.

    :param on_tokens: number of tokens after which ``act`` is called once.
    :returns: the text, the last part and the longest gap between parts in ms.
    """
    text, tokens, gap_ms, last_s = '', 0, 0, time.monotonic()
    async for part in call.answer():
        gap_ms = max(gap_ms, (time.monotonic() - last_s) * 1000)
        last_s = time.monotonic()
        if isinstance(part, actions.DeliverText):
            text += part.text
            tokens += part.tokens
        if act is not None and tokens >= on_tokens:
            act()
            act = None
    return text, part, gap_ms


def expected(tokens):
    return ''.join(f'{index} ' for index in range(tokens))
