"""A fleet on loopback: routers, agents and stand-ins of the platform."""

import subprocess
import sys

from loopback import http
from loopback.processes import ROOT, Process, ProcessSet
from loopback.program_flags import (
    ADMIN,
    ADMIN_PATHS,
    CALLERS,
    LISTENERS,
    PEER,
    Backends,
    Platform,
    ProgramInstance,
    agent_flags,
    router_flags,
)
from loopback.relay import Relay

ZONES = ('zone-a', 'zone-b', 'zone-c')
CTL_TIMEOUT_S = 30

LOG = 'log service'
HOST_LIST = 'host list'
STORE = 'weight store'
PLATFORM = {
    LOG: ('standins.log', ()),
    HOST_LIST: ('standins.hostlist', ('--lag-ms', '300')),
    STORE: ('standins.store', ('--fetch-ms', '200', '--loads-per-s', '10')),
}
ENGINE_MEMORY_MB = 16_000
ENGINE_FLAGS = (
    '--disk-load-ms',
    '150',
    '--memory-load-ms',
    '50',
    '--report-lag-ms',
    '300',
    '--tokens-per-s',
    '200',
)
SERVICE = 'bookings'
ROUTER_MODULE = 'lagoonflow.cli.router'
AGENT_MODULE = 'lagoonflow.cli.agent'
CTL_MODULE = 'lagoonflow.cli.ctl'


class Cluster:
    """Starts the processes of a fleet and looks them up by name.

    The names are `log service`, `host list` and `weight store`, and with
    numbers from 1 `engine 1`, `plain service 1`, `router 1` and `agent 1`.

    :param processes: starts the processes and ends them after the test.
    :ivar relays: relays by the name of the process behind them.
    :ivar engine_flags: additional flags of an engine, by its number.
    """

    def __init__(self, processes: ProcessSet) -> None:
        self.relays: dict[str, Relay] = {}
        self.engine_flags: dict[int, tuple[str, ...]] = {}
        self._processes = processes
        self._by_name: dict[str, Process] = {}

    def process(self, name: str) -> Process:
        """Return the last process that was started under a name.

        :param name: name of the process, with or without a leading `the`.
        :raises KeyError: when no process of this name was started.
        """
        return self._by_name[name.removeprefix('the ')]

    def running_names(self) -> list[str]:
        """Return the names of the processes that are running."""
        return [
            name
            for name, process in self._by_name.items()
            if process.is_running
        ]

    def address(self, name: str, path: str = '') -> str:
        """Return the address at which a process answers a path.

        Routers and agents answer admin paths at an address of their own. Agents
        have no address for callers.
        """
        process = self.process(name)
        role = _role(process.name)
        if role not in LISTENERS:
            return process.address
        is_admin = role == 'agent' or path.startswith(ADMIN_PATHS)
        return process.addresses[ADMIN if is_admin else CALLERS]

    def start_platform(self) -> None:
        """Start the log service, the host list and the weight store."""
        for name, (module, flags) in PLATFORM.items():
            self._start(name, module, *flags)
        self._wait_listening(*PLATFORM)

    def start_fleet(self, routers: int, agents: int) -> None:
        """Start the platform, an engine for each agent, and the programs."""
        self.start_platform()
        self.start_engines(agents)
        numbers = range(1, agents + 1)
        for number in numbers:
            self._start_agent(number)
        for number in range(1, routers + 1):
            self._start_router(number)
        names = [f'agent {number}' for number in numbers]
        names += [f'router {number}' for number in range(1, routers + 1)]
        self._wait_listening(*names)
        for name in names:
            self.list_host(name)

    def start_engines(self, count: int) -> None:
        """Start engines, each with a plain service beside it."""
        store = f'http://{self.address(STORE)}'
        names = []
        for number in range(1, count + 1):
            name = f'engine {number}'
            flags = (*ENGINE_FLAGS, *self.engine_flags.get(number, ()))
            common_flags = (
                *('--name', f'engine-{number}'),
                *('--store', store),
                *('--memory-mb', str(ENGINE_MEMORY_MB)),
            )
            self._start(name, 'standins.engine', *common_flags, *flags)
            service = ('--service', SERVICE)
            self._start(f'plain service {number}', 'standins.plain', *service)
            names += [name, f'plain service {number}']
        self._wait_listening(*names)

    def restart(self, name: str) -> None:
        """Restart a router or an agent that has ended."""
        kind, _, number = name.partition(' ')
        starters = {'router': self._start_router, 'agent': self._start_agent}
        starters[kind](int(number))
        self._wait_listening(name)
        self.list_host(name)

    def list_host(self, name: str, state: str = 'live') -> None:
        """Add a program to the platform's host list, or update its entry.

        :param state: `live`, or `leaving` when the host will soon be removed.
        """
        role, _, number = name.partition(' ')
        peer = self.process(name).addresses[PEER]
        host, _, port = peer.rpartition(':')
        entry = {
            'address': host,
            'port': int(port),
            'zone': _zone(int(number)),
            'role': role,
            'state': state,
        }
        path = f'/hosts/{_host_name(name)}'
        http.request(self.address(HOST_LIST), 'PUT', path, entry)

    def unlist_host(self, name: str) -> None:
        """Remove a program from the platform's host list."""
        path = f'/hosts/{_host_name(name)}'
        http.request(self.address(HOST_LIST), 'DELETE', path)

    def relay_to(self, name: str) -> Relay:
        """Return the relay in front of a process; start it if there is none.

        Only programs that are started later connect through it.
        """
        if name not in self.relays:
            self.relays[name] = Relay(self.address(name))
        return self.relays[name]

    def ctl(self, *flags: str) -> subprocess.CompletedProcess:
        """Run lagoonflowctl and return its exit status and output."""
        return subprocess.run(
            [sys.executable, '-m', CTL_MODULE, *flags],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=CTL_TIMEOUT_S,
        )

    def close(self) -> None:
        """Close the relays; the process set ends the processes."""
        for relay in self.relays.values():
            relay.close()

    def _platform(self) -> Platform:
        return Platform(
            self._address_or_relay(LOG),
            self._address_or_relay(HOST_LIST),
        )

    def _address_or_relay(self, name: str) -> str:
        relay = self.relays.get(name)
        return relay.address if relay else self.address(name)

    def _start_router(self, number: int) -> None:
        instance = ProgramInstance('router', number, _zone(number))
        flags = router_flags(self._platform(), instance)
        self._start(f'router {number}', ROUTER_MODULE, *flags)

    def _start_agent(self, number: int) -> None:
        instance = ProgramInstance('agent', number, _zone(number))
        backends = Backends(
            self._address_or_relay(f'engine {number}'),
            SERVICE,
            self._address_or_relay(f'plain service {number}'),
            ENGINE_MEMORY_MB,
            # Of the engine's flags only `--fencing` has the value `off`.
            'off' not in self.engine_flags.get(number, ()),
        )
        flags = agent_flags(self._platform(), instance, backends)
        self._start(f'agent {number}', AGENT_MODULE, *flags)

    def _start(self, name: str, module: str, *flags: str) -> None:
        self._by_name[name] = self._processes.start(name, module, *flags)

    def _wait_listening(self, *names: str) -> None:
        for name in names:
            self.process(name).wait_listening(LISTENERS.get(_role(name), ()))


def _role(name: str) -> str:
    return name.partition(' ')[0]


def _host_name(name: str) -> str:
    return name.replace(' ', '-')


def _zone(number: int) -> str:
    return ZONES[(number - 1) % len(ZONES)]
