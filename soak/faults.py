"""Faults that are injected from outside the programs."""

import random
import threading
import time
from collections.abc import Callable
from signal import SIGTERM

from loopback import http
from loopback.platform_fleet import RUNNER_PORT, Host, PlatformFleet
from soak.promises import Ledger

# A planned stop must end within the grace that the settings state, in s.
GRACE_S = 9


class Faults:
    """Draws one fault after the other; some overlap."""

    def __init__(self, fleet: PlatformFleet, ledger: Ledger, seed: int) -> None:
        """Draw from a seed."""
        self.log: list[str] = []
        self._fleet = fleet
        self._ledger = ledger
        self._random = random.Random(seed)
        self._started_s = time.monotonic()
        self._threads: list[threading.Thread] = []
        self._busy: set[str] = set()

    def inject(self) -> None:
        """Inject one fault."""
        fault = self._random.choice(
            (
                self._stop_router,
                self._kill_router,
                self._freeze_router,
                self._restart_agent,
                self._freeze_agent,
                self._restart_runner,
                self._spoil_server,
                self._spoil_store,
                self._spoil_link,
                self._spoil_store_link,
            )
        )
        fault()

    def heal(self) -> None:
        """End all faults and wait for what runs in the background."""
        for thread in self._threads:
            thread.join()
        for relay in self._fleet.relays.values():
            relay.heal()
            relay.delay_s = 0
            relay.cut_open()
        self._fleet.set_faults(
            self._fleet.store, silent=False, outage=False, delay_ms=0
        )
        for host in (*self._fleet.runners, *self._fleet.plain_servers):
            address = f'{host.ip}:{RUNNER_PORT}'
            self._fleet.set_faults(address, reject=False, is_leaving=False)

    def _note(self, text: str) -> None:
        at_s = time.monotonic() - self._started_s
        self.log.append(f'{at_s:6.2f} {text}')

    def _later(
        self, name: str, wait_s: float, action: Callable[[], None]
    ) -> None:
        """Run an action after a while, and keep others off meanwhile."""
        self._busy.add(name)

        def run() -> None:
            time.sleep(wait_s)
            action()
            self._busy.discard(name)

        thread = threading.Thread(target=run)
        thread.start()
        self._threads.append(thread)

    def _pick(self, hosts: list[Host]) -> Host | None:
        free = [host for host in hosts if host.ip not in self._busy]
        return self._random.choice(free) if free else None

    def _stop_router(self) -> None:
        host = self._pick(self._fleet.routers)
        if host is None or len(self._busy) > 2:
            return
        self._note(f'SIGTERM to the router on {host.ip}')
        program = host.program
        program.terminate()

        def restart() -> None:
            status = program.wait(GRACE_S)
            # A process that the signal meets before it has started has taken
            # no request; it may end by the signal itself.
            was_starting = '"event": "started"' not in program.logs()
            if status != 0 and not (was_starting and status == -SIGTERM):
                self._ledger.break_('a planned stop failed', str(status))
            self._fleet.start_router(host)

        self._later(host.ip, 0, restart)

    def _kill_router(self) -> None:
        host = self._pick(self._fleet.routers)
        if host is not None:
            self._note(f'SIGKILL to the router on {host.ip}')
            host.program.kill()
            self._later(host.ip, 0.3, lambda: self._fleet.start_router(host))

    def _freeze_router(self) -> None:
        host = self._pick(self._fleet.routers)
        if host is not None:
            for_s = self._random.choice((0.3, 1.5, 6.5))
            self._note(f'the router on {host.ip} freezes for {for_s} s')
            host.program.pause()
            self._later(host.ip, for_s, host.program.resume)

    def _restart_agent(self) -> None:
        host = self._pick(self._fleet.runners)
        if host is not None:
            self._note(f'SIGKILL to the agent on {host.ip}')
            host.program.kill()
            wait_s = self._random.uniform(0, 2)
            self._later(host.ip, wait_s, lambda: self._fleet.start_agent(host))

    def _freeze_agent(self) -> None:
        host = self._pick(self._fleet.runners)
        if host is not None:
            for_s = self._random.uniform(0.5, 4)
            self._note(f'the agent on {host.ip} freezes for {for_s:.1f} s')
            host.program.pause()
            self._later(host.ip, for_s, host.program.resume)

    def _restart_runner(self) -> None:
        host = self._pick(self._fleet.runners)
        if host is not None:
            self._note(f'the runner on {host.ip} crashes')
            self._ledger.collect([host])
            host.runner.kill()
            wait_s = self._random.uniform(0, 1.5)
            self._later(
                host.ip, wait_s, lambda: self._fleet.start_runner(host, '')
            )

    def _spoil_server(self) -> None:
        host = self._pick([*self._fleet.runners, *self._fleet.plain_servers])
        if host is None:
            return
        change = self._random.choice(
            (
                {'lose_answers': 2},
                {'cut_streams': 2},
                {'late_orders': 2},
                {'reject': True},
                {'reject': False},
                {'delay_ms': 300},
                {'delay_ms': 0},
            )
        )
        self._note(f'{host.ip} gets {change}')
        self._fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', **change)

    def _spoil_store(self) -> None:
        change = self._random.choice(
            (
                {'silent': True},
                {'outage': True},
                {'delay_ms': 200},
                {'lose_answers': 1},
            )
        )
        if 'store' in self._busy:
            return
        if self._random.random() < 0.3:
            self._note('the store forgets its history')
            http.request(self._fleet.store, 'POST', '/test/compact')
        self._note(f'the store gets {change}')
        self._fleet.set_faults(self._fleet.store, **change)
        calm = {'silent': False, 'outage': False, 'delay_ms': 0}
        for_s = self._random.choice((0.5, 2, 6))
        self._later(
            'store',
            for_s,
            lambda: self._fleet.set_faults(self._fleet.store, **calm),
        )

    def _spoil_link(self) -> None:
        self._spoil('server ')

    def _spoil_store_link(self) -> None:
        self._spoil('store ')

    def _spoil(self, prefix: str) -> None:
        names = [
            name
            for name in self._fleet.relays
            if name.startswith(prefix) and name not in self._busy
        ]
        if not names:
            return
        name = self._random.choice(names)
        relay = self._fleet.relays[name]
        kind = self._random.choice(
            ('cut_open', 'cut_all', 'silence_open', 'silence_answers', 'delay')
        )
        self._note(f'relay to {name}: {kind}')
        if kind == 'delay':
            relay.delay_s = 0.15
        else:
            getattr(relay, kind)()

        def mend() -> None:
            relay.heal()
            relay.delay_s = 0

        self._later(name, self._random.uniform(0.5, 4), mend)
