"""One seeded run of the soak."""

import dataclasses
import pathlib
import random
import time
from http.client import HTTPException

from loopback.platform_fleet import KEY, PlatformFleet, configuration
from loopback.processes import ProcessSet
from soak.callers import Caller, Outcome
from soak.faults import Faults
from soak.promises import Ledger

CALLERS = 6
# The platform's bound for serving again after everything was lost, in s.
RECOVERY_S = 12
LAST_VERSION = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a run has shown.

    :param broken: broken promises; empty when all held.
    """

    seed: int
    requests: int
    served: int
    faults: tuple[str, ...]
    broken: tuple[str, ...]


def run(seed: int, for_s: float, log_dir: pathlib.Path) -> Report:
    """Run a fleet under faults and check the promises."""
    processes = ProcessSet(log_dir)
    fleet = PlatformFleet(processes, relayed=True)
    try:
        fleet.start(routers=3, runners=3, plain_servers=2)
        return _run(fleet, seed, for_s)
    finally:
        processes.end_all()
        fleet.close()


def _run(fleet: PlatformFleet, seed: int, for_s: float) -> Report:
    chance = random.Random(seed)
    ledger = Ledger(fleet)
    faults = Faults(fleet, ledger, seed)
    callers = [Caller(fleet, seed * 100 + place) for place in range(CALLERS)]
    for caller in callers:
        caller.start()
    end_s = time.monotonic() + for_s
    withdraw_at_s = time.monotonic() + for_s * 0.4
    withdrawn_at_s: float | None = None
    while time.monotonic() < end_s:
        faults.inject()
        time.sleep(chance.uniform(0.2, 1.2))
        if withdrawn_at_s is None and time.monotonic() > withdraw_at_s:
            withdrawn_at_s = _withdraw(fleet)
    faults.heal()
    for caller in callers:
        caller.stop()
    for caller in callers:
        caller.join()
    outcomes = [one for caller in callers for one in caller.outcomes]
    _check_recovery(fleet, ledger)
    ledger.collect([*fleet.runners, *fleet.plain_servers])
    ledger.check(outcomes, withdrawn_at_s)
    return _report(seed, outcomes, faults, ledger)


def _withdraw(fleet: PlatformFleet) -> float | None:
    """Withdraw the second key; ``None`` while the store is away."""
    body = configuration(LAST_VERSION)
    body['tenants'][0]['api_keys'] = [KEY]
    try:
        fleet.publish(body)
    except OSError:
        return None
    return time.monotonic()


def _check_recovery(fleet: PlatformFleet, ledger: Ledger) -> None:
    deadline_s = time.monotonic() + RECOVERY_S
    waiting = [
        (host, path, headers)
        for host in fleet.routers
        for path, headers in (
            ('/book/x', {}),
            ('/draft/x', {'Model': 'm1'}),
            ('/draft/x', {'Model': 'm2'}),
        )
    ]
    while waiting and time.monotonic() < deadline_s:
        waiting = [one for one in waiting if not _is_served(fleet, *one)]
    for host, path, headers in waiting:
        ledger.break_('not served again', f'{host.ip} {path} {headers}')


def _is_served(fleet: PlatformFleet, host, path, headers) -> bool:
    try:
        return fleet.send_request(host, path, headers).status == 200
    except (OSError, HTTPException):
        # A stream that is still cut is not served.
        return False


def _report(
    seed: int, outcomes: list[Outcome], faults: Faults, ledger: Ledger
) -> Report:
    served = sum(one.status == 200 and one.is_whole for one in outcomes)
    return Report(
        seed,
        len(outcomes),
        served,
        tuple(faults.log),
        tuple(ledger.broken),
    )
