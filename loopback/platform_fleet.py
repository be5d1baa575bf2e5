"""A fleet on loopback: routers, agents, stand-ins of the users' platform."""

import dataclasses
import pathlib
import random
import resource
import time
from typing import Any

from loopback import http
from loopback.processes import Process, ProcessSet
from loopback.relay import Relay

PROGRAM_MODULE = 'lagoonflow.cli.platform_process'
STORE_MODULE = 'standins.platform.store'
RUNNER_MODULE = 'standins.platform.runner'
MODEL_SERVICE = 'llm'
PLAIN_SERVICE = 'desk'
KEY = 'key-1'
OTHER_KEY = 'key-2'
CALLER_PORT = 8080
READY_PORT = 8081
PEER_PORT = 7600
STORE_PORT = 9000
RUNNER_PORT = 9100
READY_TIMEOUT_S = 15
OK = 200
POLL_S = 0.05


def _route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    return {
        'name': name,
        'host': 'desk.example',
        'path_prefix': f'/{name}/',
        'type': kind,
        'timeout_ms': 5000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'gap_target_ms': 600,
        **fields,
    }


def _model(name: str) -> dict[str, Any]:
    return {
        'name': name,
        'weights_mb': 100,
        'load_time_s': 1.0,
        'warm_s': 0.15,
        'disk_load_s': 0.15,
        'adapters': 2,
        'adapter_size_mb': 1,
    }


def configuration(version: int = 1) -> dict[str, Any]:
    """Return a configuration in the form that operators publish."""
    engine = {
        'models': [_model(name) for name in ('m1', 'm2', 'm3')],
        'slots': 8,
        'kv_capacity': 10_000,
        'weights_mb': 205,
        'adapter_slots': 4,
        'loads_per_s': 10,
    }
    return {
        'version': version,
        'routes': [
            _route('read', 'idempotent', PLAIN_SERVICE),
            _route('book', 'non_idempotent', PLAIN_SERVICE),
            _route('draft', 'streaming', MODEL_SERVICE),
            _route('resume', 'streaming', MODEL_SERVICE, resumable=True),
            _route('open', 'idempotent', PLAIN_SERVICE, public=True),
        ],
        'services': [
            {'name': MODEL_SERVICE, 'max_conns': 50, 'engine': engine},
            {'name': PLAIN_SERVICE, 'max_conns': 50},
        ],
        'limits': {},
        'tenants': [
            {
                'name': 'water',
                'api_keys': [KEY, OTHER_KEY],
                'unit': 'tokens',
                'plain_tokens': 1,
                'rate_per_s': 100_000,
                'burst': 100_000,
            },
        ],
    }


@dataclasses.dataclass(slots=True)
class Host:
    """A host of the fleet and the processes on it.

    :param runner: stand-in of a runner or plain server; ``None`` on the hosts
        of routers.
    :param program: router or agent; ``None`` on the hosts of plain servers.
    """

    ip: str
    runner: Process | None = None
    program: Process | None = None


class PlatformFleet:
    """Starts a fleet in a loopback network of its own.

    :param processes: starts the processes and ends them after the test.
    :param relayed: whether relays stand in front of backend servers and store.
    :ivar crashing_part: prompt part on which runners crash that are started
        from now on; empty for none.
    :ivar crashing_body: the same for a text in a request's body, on which
        plain servers crash, too.
    :ivar max_descriptors: limit of the routers that are started from now on;
        0 for that of this process.
    :ivar evacuate_ms: time within which routers that are started from now on
        leave evacuated zones; 0 if zones can't be evacuated.
    :ivar version: version of the configuration that was published last.
    :ivar published: the last configuration that the store has accepted.
    :ivar relays: relays by name: `server IP`, or `store IP` for the connections
        from a host to the store.
    """

    def __init__(self, processes: ProcessSet, *, relayed: bool = False) -> None:
        """Draw a random network, as other fleets may run on this machine."""
        self.routers: list[Host] = []
        self.runners: list[Host] = []
        self.plain_servers: list[Host] = []
        self.crashing_part = ''
        self.crashing_body = ''
        self.max_descriptors = 0
        self.evacuate_ms = 5000
        self.version = 0
        self.published: dict[str, Any] = {}
        self._processes = processes
        self.relays: dict[str, Relay] = {}
        self._relayed = relayed
        self._net = f'127.{random.randrange(1, 255)}.{random.randrange(255)}'
        self._last_host_number = 1
        self.store = f'{self._net}.1:{STORE_PORT}'
        self.store_process: Process | None = None

    def start(
        self, routers: int = 2, runners: int = 2, plain_servers: int = 2
    ) -> None:
        """Start all processes and wait until every router serves requests."""
        self.start_store()
        for index in range(runners):
            models = 'm1' if index == 0 else 'm2'
            self.runners.append(self.add_runner(models))
        for _ in range(plain_servers):
            self.plain_servers.append(self.add_plain_server())
        self.publish(configuration(1))
        for _ in range(routers):
            self.routers.append(self.add_router())
        for host in self.routers:
            self.wait_ready(host)
        self.wait_until_served()

    def start_store(self) -> None:
        """Start the metadata store."""
        ip, port = self.store.split(':')
        self.store_process = self._processes.start(
            'store', STORE_MODULE, '--host', ip, '--port', port
        )
        self.store_process.wait_listening()

    def add_runner(self, models: str) -> Host:
        """Start a runner and its agent on a new host."""
        host = Host(self._next_ip())
        self.start_runner(host, models)
        self.start_agent(host)
        return host

    def start_runner(
        self,
        host: Host,
        models: str,
        software_version: str = 'v1',
        *,
        is_registered: bool = True,
    ) -> None:
        """Start the runner of a host.

        :param models: names of the models it has loaded, separated by commas.
        """
        host.runner = self._start_backend(
            host,
            MODEL_SERVICE,
            '--models',
            models,
            '--software-version',
            software_version,
            '--crash-on-part',
            self.crashing_part,
        )
        if is_registered:
            self.register(host)

    def add_unregistered_runner(
        self, models: str, software_version: str
    ) -> Host:
        """Start a runner that isn't listed before :meth:`register`."""
        host = Host(self._next_ip())
        self.start_runner(host, models, software_version, is_registered=False)
        return host

    def register(self, host: Host) -> None:
        """Let a runner or plain server register itself.

        The stand-in does so after its first request.
        """
        http.request(f'{host.ip}:{RUNNER_PORT}', 'GET', '/healthz')

    def add_plain_server(self, zone: str = 'zone-a') -> Host:
        """Start a plain application server on a new host."""
        host = Host(self._next_ip())
        self.start_plain_server(host, zone)
        return host

    def start_plain_server(self, host: Host, zone: str = 'zone-a') -> None:
        """Start the plain application server of a host."""
        host.runner = self._start_backend(host, PLAIN_SERVICE, '--zone', zone)
        self.register(host)

    def start_agent(self, host: Host) -> None:
        """Start the agent of a host."""
        fields = {
            'app': f'{host.ip}:{RUNNER_PORT}',
            'service': MODEL_SERVICE,
        }
        host.program = self._start_program('agent', host, fields)

    def add_router(self) -> Host:
        """Start a router on a new host."""
        host = Host(self._next_ip())
        self.start_router(host)
        return host

    def start_router(self, host: Host) -> None:
        """Start the router of a host."""
        fields = {
            'listen.frontend': f'{host.ip}:{CALLER_PORT}',
            'listen.ready': f'{host.ip}:{READY_PORT}',
        }
        host.program = self._start_program('router', host, fields)
        if self.max_descriptors:
            limits = (self.max_descriptors, self.max_descriptors)
            resource.prlimit(host.program.pid, resource.RLIMIT_NOFILE, limits)

    def publish(self, body: dict[str, Any]) -> None:
        """Publish a configuration.

        :raises OSError: when the store can't be reached or rejects it.
        """
        self.version = body['version']
        self.put('keyed.op', 'config', body)
        self.published = body

    def change_limits(self, idle_timeout_ms: int, extra_routes: int) -> None:
        """Publish another idle time of callers' connections, and more routes.

        :raises OSError: when the store can't be reached or rejects it.
        """
        body = dict(self.published)
        body['version'] = self.version + 1
        body['limits'] = {'idle_timeout_ms': idle_timeout_ms}
        body['routes'] = configuration()['routes'] + [
            _route(f'extra-{index}', 'idempotent', PLAIN_SERVICE)
            for index in range(extra_routes)
        ]
        self.publish(body)

    def router_logs(self) -> str:
        """Return what all routers, also earlier ones, have written."""
        return ''.join(
            process.logs()
            for process in self._processes.all()
            if process.name.startswith('router')
        )

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a record to the store.

        :param value: the new value; ``None`` removes the key.
        :raises OSError: when the store can't be reached or rejects the write.
        """
        record = {'topic': topic, 'key': key, 'value': value}
        reply = http.request(
            self.store, 'POST', '/test/put', record, timeout_s=2
        )
        if reply.status != OK:
            raise OSError(f'the store answered with status {reply.status}')

    def copy_store(self) -> None:
        """Let the store keep a copy of its records for :meth:`restore_store`."""
        http.request(self.store, 'POST', '/test/copy', {})

    def restore_store(self, *configurations: dict[str, Any]) -> None:
        """Let the store go back to its copy.

        :param configurations: those that are written again at that moment.
        """
        rewritten = [
            {'topic': 'keyed.op', 'key': 'config', 'value': body}
            for body in configurations
        ]
        body = {'rewritten': rewritten}
        reply = http.request(self.store, 'POST', '/test/restore', body)
        if reply.status != OK:
            raise OSError(f'the store answered with status {reply.status}')

    def set_faults(self, address: str, **change: Any) -> None:
        """Change faults of a stand-in."""
        http.request(address, 'POST', '/faults', change)

    def counts(self, host: Host) -> dict[str, Any]:
        """Return the counters of the runner or plain server of a host."""
        address = f'{host.ip}:{RUNNER_PORT}'
        return http.request(address, 'GET', '/counts').json()

    def server_key(self, host: Host) -> str:
        """Return the key of a backend server's entry in the store."""
        return f'servers/{self.counts(host)["instance"]}'

    def is_ready(self, host: Host) -> bool:
        """Tell whether a router reports that it is ready."""
        try:
            reply = http.request(
                f'{host.ip}:{READY_PORT}', 'GET', '/readyz', timeout_s=1
            )
        except OSError:
            return False
        return reply.status == 200

    def wait_ready(self, host: Host) -> None:
        """Wait until a router is ready.

        :raises TimeoutError: when it is not ready in time.
        """
        self._wait_until(
            lambda: self.is_ready(host), f'the router on {host.ip} is not ready'
        )

    def wait_until_served(self) -> None:
        """Wait until every router serves plain calls and all adapters.

        The routers then know the backend servers, and the agents have loaded the
        adapters.

        :raises TimeoutError: when a router does not serve them in time.
        """
        for path, headers in (
            ('/read/x', {}),
            ('/draft/x', {'Model': 'm1/a1'}),
            ('/draft/x', {'Model': 'm2/a1'}),
        ):
            for host in self.routers:
                self._wait_until(
                    lambda host=host, path=path, headers=headers: (
                        self.send_request(host, path, headers).status == 200
                    ),
                    f'the router on {host.ip} does not serve {path}',
                )

    def send_request(
        self,
        host: Host,
        path: str,
        headers: dict[str, str] | None = None,
        key: str = KEY,
        body: Any = None,
    ) -> http.Reply:
        """Send one request to a router, as a caller does."""
        sent = {
            'Host': 'desk.example',
            'Attempt-Id': f'{random.getrandbits(64):016x}',
            'Deadline-Ms': '4000',
            'Authorization': f'Token {key}',
            **(headers or {}),
        }
        address = f'{host.ip}:{CALLER_PORT}'
        return http.request(address, 'POST', path, body, sent, timeout_s=6)

    def _wait_until(self, condition, message: str) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(message)
            time.sleep(POLL_S)

    def _next_ip(self) -> str:
        self._last_host_number += 1
        return f'{self._net}.{self._last_host_number}'

    def _start_backend(self, host: Host, service: str, *flags: str) -> Process:
        process = self._processes.start(
            f'{service} {host.ip}',
            RUNNER_MODULE,
            '--host',
            host.ip,
            '--port',
            str(RUNNER_PORT),
            '--service',
            service,
            '--store',
            self.store,
            '--advertise',
            self._relay(f'server {host.ip}', host.ip, RUNNER_PORT),
            '--crash-on-body',
            self.crashing_body,
            *flags,
        )
        process.wait_listening()
        return process

    def _start_program(
        self, role: str, host: Host, fields: dict[str, str]
    ) -> Process:
        lines = {
            'node_name': f'{role}-{host.ip}',
            'zone': 'zone-a',
            'ip': host.ip,
            'internal_ports': f'{PEER_PORT},{PEER_PORT + 15}',
            'platform.address': self._store_address(host),
            'bounds.revoke_strict': 'true',
            'bounds.revoke_ms': '5000',
            'bounds.grace_s': '8',
            'bounds.evacuate_ms': str(self.evacuate_ms),
            **fields,
        }
        path = self._settings_path(role, host)
        text = ''.join(f'{name}={value}\n' for name, value in lines.items())
        path.write_text(text)
        return self._processes.start(
            f'{role} {host.ip}',
            PROGRAM_MODULE,
            role,
            env={'LAGOONFLOW_BOOT': str(path)},
        )

    def _store_address(self, host: Host) -> str:
        ip, port = self.store.split(':')
        return self._relay(f'store {host.ip}', ip, int(port))

    def _relay(self, name: str, ip: str, port: int) -> str:
        """Return the address of a relay; without relays, of its target."""
        target = f'{ip}:{port}'
        if not self._relayed:
            return target
        if name not in self.relays:
            self.relays[name] = Relay(target, f'{ip}:0')
        return self.relays[name].address

    def close(self) -> None:
        """Close all relays."""
        for relay in self.relays.values():
            relay.close()

    def _settings_path(self, role: str, host: Host) -> pathlib.Path:
        return self._processes.log_dir / f'{role}-{host.ip}.conf'
