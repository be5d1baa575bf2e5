"""Starts the stand-ins, routers and agents of one run."""

import dataclasses
import hashlib
import json
import subprocess
import sys
import time

from benchmarks.storm.arrivals import Organisation, adapters_of
from benchmarks.storm.deployments import Deployment
from benchmarks.storm.world import (
    engine_flags,
    local_checkpoints,
    store_flags,
)
from loopback import http
from loopback.processes import ROOT, Process, ProcessSet
from loopback.program_flags import (
    Backends,
    Platform,
    ProgramInstance,
    agent_flags,
    router_flags,
)

ZONES = ('zone-a', 'zone-b', 'zone-c')
READY_TIMEOUT_S = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Addresses of a running fleet.

    :param routers: addresses of the routers for callers.
    :param admins: admin addresses of agents and routers.
    """

    engines: list[str]
    store: str
    routers: list[str]
    admins: list[str]
    agents: list[Process]


def api_keys(limits: list[Organisation]) -> dict[str, str]:
    """Return an API key for each organisation."""
    return {
        organisation.name: f'lf_{organisation.name}_benchmark_key'
        for organisation in limits
    }


def release_note(deployment: Deployment, limits: list[Organisation]) -> str:
    """Return a release note with all organisations, models and adapters."""
    changes = []
    for organisation in limits:
        api_key = api_keys(limits)[organisation.name]
        changes.append(
            {
                'put': 'organisation',
                'name': organisation.name,
                'base': 0,
                'rate_tokens_per_s': organisation.rate_tokens_per_s,
                'burst_tokens': organisation.burst_tokens,
            }
        )
        changes.append(
            {
                'put': 'key',
                'name': f'{organisation.name}-key',
                'base': 0,
                'organisation': organisation.name,
                'digest': hashlib.sha256(api_key.encode()).hexdigest(),
            }
        )
    for number in range(deployment.models):
        model = f'model-{number}'
        changes.append(
            {
                'put': 'model',
                'name': model,
                'base': 0,
                'version': 'v1',
                'checkpoint': f'{model}-v1',
                'memory_mb': deployment.model_memory_mb,
                'max_replicas': 3,
            }
        )
        changes.extend(
            {
                'put': 'adapter',
                'name': adapter,
                'base': 0,
                'model': model,
                'version': 'v1',
                'checkpoint': f'{adapter}-v1',
                'memory_mb': deployment.adapter_memory_mb,
            }
            for adapter in adapters_of(deployment, model)
        )
    note = {'note': {'author': 'benchmark'}, 'changes': changes}
    return json.dumps(note)


class FleetStarter:
    """Starts weight store and engines, then routers and agents if needed."""

    def __init__(self, processes: ProcessSet, deployment: Deployment) -> None:
        self._processes = processes
        self._deployment = deployment

    def start_engines(self, seed: int, fencing: str) -> Fleet:
        """Start the weight store and the engines.

        :param fencing: whether engines check fencing tokens (on or off).
        """
        store = self._start(
            'store',
            'standins.store',
            *store_flags(self._deployment),
        )
        store.wait_listening()
        checkpoints = local_checkpoints(self._deployment, seed)
        engines = [
            self._start(
                f'engine {number}',
                'standins.engine',
                '--name',
                f'engine-{number}',
                *engine_flags(
                    self._deployment,
                    engine_checkpoints,
                    f'http://{store.address}',
                    fencing,
                ),
            )
            for number, engine_checkpoints in enumerate(checkpoints, 1)
        ]
        for engine in engines:
            engine.wait_listening()
        addresses = [engine.address for engine in engines]
        return Fleet(addresses, store.address, [], [], [])

    def start_programs(self, fleet: Fleet, limits: list[Organisation]) -> Fleet:
        """Start agents and routers, and publish the release note."""
        log = self._start('log', 'standins.log')
        hosts = self._start('hosts', 'standins.hostlist', '--lag-ms', '300')
        log.wait_listening()
        hosts.wait_listening()
        platform = Platform(log.address, hosts.address)
        deployment = self._deployment
        agents = []
        for number, engine in enumerate(fleet.engines, 1):
            plain_service = self._start(f'plain {number}', 'standins.plain')
            plain_service.wait_listening()
            instance = ProgramInstance('agent', number, ZONES[number % 3])
            backends = Backends(
                engine,
                'bookings',
                plain_service.address,
                deployment.engine_memory_mb,
                True,
            )
            agents.append(
                self._start(
                    f'agent {number}',
                    'lagoonflow.cli.agent',
                    *agent_flags(platform, instance, backends),
                    f'--store-loads-per-s={deployment.store_loads_per_s}',
                    f'--store-parallel={deployment.store_parallel}',
                    f'--store-sharers={deployment.engines}',
                    f'--max-running={deployment.batch_size}',
                ),
            )
        routers = [
            self._start(
                f'router {number}',
                'lagoonflow.cli.router',
                *router_flags(
                    platform,
                    ProgramInstance('router', number, ZONES[number % 3]),
                ),
            )
            for number in range(1, deployment.routers + 1)
        ]
        for process in (*agents, *routers):
            process.wait_listening(('peer', 'admin'))
        self._register_hosts(hosts.address, agents, 'agent')
        self._register_hosts(hosts.address, routers, 'router')
        self._publish(log.address, release_note(deployment, limits))
        admins = [program.addresses['admin'] for program in (*agents, *routers)]
        _wait_until_ready(admins, len(admins))
        return dataclasses.replace(
            fleet,
            routers=[router.addresses['callers'] for router in routers],
            admins=admins,
            agents=agents,
        )

    def _publish(self, log: str, note: str) -> None:
        path = self._processes.log_dir / 'note.yaml'
        path.write_text(note)
        published = subprocess.run(
            [
                sys.executable,
                '-m',
                'lagoonflow.cli.ctl',
                'release',
                'publish',
                str(path),
                f'--log-url=http://{log}',
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=READY_TIMEOUT_S,
        )
        if published.returncode:
            raise RuntimeError(published.stdout + published.stderr)

    def _register_hosts(
        self, hosts: str, programs: list[Process], role: str
    ) -> None:
        for number, process in enumerate(programs, 1):
            host, _, port = process.addresses['peer'].rpartition(':')
            entry = {
                'address': host,
                'port': int(port),
                'zone': ZONES[number % 3],
                'role': role,
                'state': 'live',
            }
            http.request(hosts, 'PUT', f'/hosts/{role}-{number}', entry)

    def _start(self, name: str, module: str, *flags: str) -> Process:
        return self._processes.start(name, module, *flags)


def _wait_until_ready(admins: list[str], members: int) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        statuses = [
            http.request(admin, 'GET', '/status').json() for admin in admins
        ]
        if all(_is_ready(status, members) for status in statuses):
            return
        time.sleep(0.2)
    raise RuntimeError(
        f'the fleet has not read the roster and releases in time: {statuses}'
    )


def _is_ready(status: dict, members: int) -> bool:
    streams = status['streams']
    return (
        streams['roster']['next_offset'] >= members
        and streams['releases']['next_offset'] >= 1
    )
