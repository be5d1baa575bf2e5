"""Injects faults into a fleet from outside its programs."""

import random
import threading
import time
from collections.abc import Callable
from signal import SIGHUP, SIGTERM
from typing import Any

from loopback import http
from loopback.platform_fleet import RUNNER_PORT, Host, PlatformFleet
from soak.invariants import InvariantChecker

# A planned stop must end within the grace period of the settings, in s; the
# difference to `bounds.grace_s` is a margin for the end of the process.
STOP_LIMIT_S = 9
SOFTWARE_VERSIONS = ('v1', 'v2')
# Requests per second that a server says it takes; 0 for no limit.
LIMITS_PER_S = (0, 0, 2, 8)
# Chances beside another fault: a server changes its limit, and all routers are
# killed together.
LIMIT_CHANCE = 0.3
KILL_ALL_CHANCE = 0.06
# Chance that the configuration changes beside another fault: the idle time of
# callers' connections in ms, and the number of further routes.
CONFIGURATION_CHANCE = 0.4
IDLE_TIMES_MS = (150, 400, 2000, 15_000)
EXTRA_ROUTES = (0, 300, 1500)
# Chance that a router is stopped between reloads and configurations.
OVERLAP_CHANCE = 0.1
OVERLAP_PAUSE_S = 0.1


class Faults:
    """Injects random faults, of which several may last at the same time.

    :ivar log: a line for each fault, with the time since the start.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        checker: InvariantChecker,
        seed: int,
        *,
        has_trouble: bool,
    ) -> None:
        """Make all random choices from a seed.

        :param has_trouble: servers also name limits, all routers are killed
            together, and the configuration changes; the other faults of a seed
            are the same without them.
        """
        self._has_trouble = has_trouble
        self._limit_random = random.Random(seed + 1)
        self._configuration_random = random.Random(seed + 2)
        self._overlap_random = random.Random(seed + 3)
        self.log: list[str] = []
        self._fleet = fleet
        self._checker = checker
        self._random = random.Random(seed)
        self._started_s = time.monotonic()
        self._threads: list[threading.Thread] = []
        self._affected: set[str] = set()

    def inject(self) -> None:
        """Inject one random fault."""
        fault = self._random.choice(
            (
                self._stop_router,
                self._kill_router,
                self._pause_router,
                self._restart_agent,
                self._pause_agent,
                self._restart_runner,
                self._replace_runner,
                self._change_server_faults,
                self._change_store_faults,
                self._disturb_server_link,
                self._disturb_store_link,
            )
        )
        fault()
        self.restart_crashed()
        if self._has_trouble:
            self._change_limit()
            self._kill_all_routers()
            self._change_configuration()
            self._stop_beside_changes()

    def heal(self) -> None:
        """Wait for actions in the background, then end all faults."""
        for thread in self._threads:
            thread.join()
        self.restart_crashed()
        for relay in self._fleet.relays.values():
            relay.heal()
            relay.delay_s = 0
            relay.cut_open()
        self._fleet.set_faults(
            self._fleet.store, silent=False, outage=False, delay_ms=0
        )
        if self._has_trouble:
            self._fleet.change_limits(IDLE_TIMES_MS[-1], 0)
        for host in (*self._fleet.runners, *self._fleet.plain_servers):
            self._set_server_faults(
                host,
                reject=False,
                is_leaving=False,
                delay_ms=0,
                limit_per_s=0,
            )

    def restart_crashed(self) -> None:
        """Start the servers again that a request has crashed."""
        for host in (*self._fleet.runners, *self._fleet.plain_servers):
            if host.ip in self._affected or host.runner.is_running:
                continue
            self._record(f'the server on {host.ip} has crashed, and starts')
            if host in self._fleet.runners:
                self._fleet.start_runner(host, '')
            else:
                self._fleet.start_plain_server(host)

    def _record(self, text: str) -> None:
        at_s = time.monotonic() - self._started_s
        self.log.append(f'{at_s:6.2f} {text}')

    def _run_later(
        self, name: str, wait_s: float, action: Callable[[], None]
    ) -> None:
        """Run an action after a delay.

        Until it is done, no other fault affects what `name` stands for.

        :param name: a host's IP address, a relay, or `store`.
        :param wait_s: the delay, in seconds.
        """
        self._affected.add(name)

        def run() -> None:
            time.sleep(wait_s)
            action()
            self._affected.discard(name)

        thread = threading.Thread(target=run)
        thread.start()
        self._threads.append(thread)

    def _choose_free_host(self, hosts: list[Host]) -> Host | None:
        free = [host for host in hosts if host.ip not in self._affected]
        return self._random.choice(free) if free else None

    def _stop_router(self) -> None:
        host = self._choose_free_host(self._fleet.routers)
        if host is None or len(self._affected) > 2:
            return
        self._record(f'SIGTERM to the router on {host.ip}')
        host.program.terminate()
        self._restart_when_stopped(host)

    def _stop_beside_changes(self) -> None:
        if self._overlap_random.random() > OVERLAP_CHANCE:
            return
        started = [
            host
            for host in self._fleet.routers
            if host.ip not in self._affected
            and '"event": "started"' in host.program.logs()
        ]
        if not started or len(self._affected) > 2:
            return
        host = self._overlap_random.choice(started)
        self._record(f'SIGHUP, SIGTERM and changes to the router on {host.ip}')
        for number in (SIGHUP, SIGTERM, SIGHUP, SIGHUP):
            host.program.popen.send_signal(number)
            self._publish_limits(self._overlap_random)
            time.sleep(OVERLAP_PAUSE_S)
        self._restart_when_stopped(host)

    def _restart_when_stopped(self, host: Host) -> None:
        program = host.program

        def restart() -> None:
            status = program.wait(STOP_LIMIT_S)
            # A process that receives the signal before it has started has
            # accepted no request and may end by the signal itself.
            was_starting = '"event": "started"' not in program.logs()
            if status != 0 and not (was_starting and status == -SIGTERM):
                self._checker.add_violation(
                    'a planned stop failed', str(status)
                )
            self._fleet.start_router(host)

        self._run_later(host.ip, 0, restart)

    def _kill_router(self) -> None:
        host = self._choose_free_host(self._fleet.routers)
        if host is not None:
            self._record(f'SIGKILL to the router on {host.ip}')
            host.program.kill()
            self._run_later(
                host.ip, 0.3, lambda: self._fleet.start_router(host)
            )

    def _kill_all_routers(self) -> None:
        if self._limit_random.random() > KILL_ALL_CHANCE:
            return
        hosts = [
            host
            for host in self._fleet.routers
            if host.ip not in self._affected
        ]
        self._record(f'SIGKILL to {len(hosts)} routers together')
        for host in hosts:
            host.program.kill()
            self._run_later(
                host.ip, 0.3, lambda host=host: self._fleet.start_router(host)
            )

    def _pause_router(self) -> None:
        host = self._choose_free_host(self._fleet.routers)
        if host is not None:
            for_s = self._random.choice((0.3, 1.5, 6.5))
            self._record(f'the router on {host.ip} is paused for {for_s} s')
            host.program.pause()
            self._run_later(host.ip, for_s, host.program.resume)

    def _restart_agent(self) -> None:
        host = self._choose_free_host(self._fleet.runners)
        if host is not None:
            self._record(f'SIGKILL to the agent on {host.ip}')
            host.program.kill()
            wait_s = self._random.uniform(0, 2)
            self._run_later(
                host.ip, wait_s, lambda: self._fleet.start_agent(host)
            )

    def _pause_agent(self) -> None:
        host = self._choose_free_host(self._fleet.runners)
        if host is not None:
            for_s = self._random.uniform(0.5, 4)
            self._record(f'the agent on {host.ip} is paused for {for_s:.1f} s')
            host.program.pause()
            self._run_later(host.ip, for_s, host.program.resume)

    def _restart_runner(self) -> None:
        host = self._choose_free_host(self._fleet.runners)
        if host is not None:
            self._record(f'the runner on {host.ip} crashes')
            self._checker.collect([host])
            host.runner.kill()
            wait_s = self._random.uniform(0, 1.5)
            version = self._random.choice(SOFTWARE_VERSIONS)
            self._run_later(
                host.ip,
                wait_s,
                lambda: self._fleet.start_runner(host, '', version),
            )

    def _replace_runner(self) -> None:
        """Let a runner leave; start one of another version in its place."""
        host = self._choose_free_host(self._fleet.runners)
        if host is None or host.runner is None:
            return
        version = self._random.choice(SOFTWARE_VERSIONS)
        self._record(f'the runner on {host.ip} leaves, {version} replaces it')
        self._set_server_faults(host, is_leaving=True)

        def replace() -> None:
            self._checker.collect([host])
            host.runner.kill()
            self._fleet.start_runner(host, '', version)

        self._run_later(host.ip, self._random.uniform(1, 3), replace)

    def _change_server_faults(self) -> None:
        host = self._choose_free_host(
            [*self._fleet.runners, *self._fleet.plain_servers]
        )
        if host is None:
            return
        change = self._random.choice(
            (
                {'lose_answers': 2},
                {'cut_streams': 2},
                {'end_streams': 2},
                {'late_orders': 2},
                {'reject': True},
                {'reject': False},
                {'delay_ms': 300},
                {'delay_ms': 0},
            )
        )
        self._record(f'the server on {host.ip} has the faults {change}')
        self._set_server_faults(host, **change)

    def _change_limit(self) -> None:
        if self._limit_random.random() > LIMIT_CHANCE:
            return
        host = self._limit_random.choice(
            [*self._fleet.runners, *self._fleet.plain_servers]
        )
        limit_per_s = self._limit_random.choice(LIMITS_PER_S)
        self._record(f'the server on {host.ip} names a limit: {limit_per_s}')
        self._set_server_faults(host, limit_per_s=limit_per_s)

    def _change_configuration(self) -> None:
        if self._configuration_random.random() > CONFIGURATION_CHANCE:
            return
        self._publish_limits(self._configuration_random)

    def _publish_limits(self, generator: random.Random) -> None:
        idle_ms = generator.choice(IDLE_TIMES_MS)
        routes = generator.choice(EXTRA_ROUTES)
        self._record(f'idle time of {idle_ms} ms, {routes} more routes')
        try:
            self._fleet.change_limits(idle_ms, routes)
        except OSError:
            self._record('the store accepts no configuration')

    def _set_server_faults(self, host: Host, **change: Any) -> None:
        try:
            self._fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', **change)
        except OSError:
            if host.runner.is_running:
                raise
            self._record(f'the server on {host.ip} has crashed before')

    def _change_store_faults(self) -> None:
        change = self._random.choice(
            (
                {'silent': True},
                {'outage': True},
                {'delay_ms': 200},
                {'lose_answers': 1},
            )
        )
        if 'store' in self._affected:
            return
        if self._random.random() < 0.3:
            self._record('the store drops the history of its topics')
            http.request(self._fleet.store, 'POST', '/test/compact')
        self._record(f'the store has the faults {change}')
        self._fleet.set_faults(self._fleet.store, **change)
        no_faults = {'silent': False, 'outage': False, 'delay_ms': 0}
        for_s = self._random.choice((0.5, 2, 6))
        self._run_later(
            'store',
            for_s,
            lambda: self._fleet.set_faults(self._fleet.store, **no_faults),
        )

    def _disturb_server_link(self) -> None:
        self._disturb_link('server ')

    def _disturb_store_link(self) -> None:
        self._disturb_link('store ')

    def _disturb_link(self, prefix: str) -> None:
        names = [
            name
            for name in self._fleet.relays
            if name.startswith(prefix) and name not in self._affected
        ]
        if not names:
            return
        name = self._random.choice(names)
        relay = self._fleet.relays[name]
        kind = self._random.choice(
            ('cut_open', 'cut_all', 'silence_open', 'silence_answers', 'delay')
        )
        self._record(f'relay to {name}: {kind}')
        if kind == 'delay':
            relay.delay_s = 0.15
        else:
            getattr(relay, kind)()

        def restore() -> None:
            relay.heal()
            relay.delay_s = 0

        self._run_later(name, self._random.uniform(0.5, 4), restore)
