"""Runs the soak test once with a given seed."""

import dataclasses
import pathlib
import random
import time
from http.client import HTTPException

from loopback.platform_fleet import KEY, PlatformFleet, configuration
from loopback.processes import ProcessSet
from soak.callers import Caller, Outcome
from soak.calm import (
    CRASHING_BODY,
    CRASHING_PART,
    check_crashing_part,
    check_crashing_request,
    check_limit,
    check_popular_request,
)
from soak.faults import Faults
from soak.invariants import InvariantChecker

CALLERS = 6
# Time within which the fleet must serve again after the faults, in s. The
# platform requires it after a loss of everything.
RECOVERY_S = 12
WITHDRAWAL_VERSION = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of one run.

    :param seed: seed of the run.
    :param requests: requests that callers sent.
    :param served: requests that got a complete answer with status 200.
    :param resumed: streams that callers took up after a break.
    :param went_on: those of them that were received to their end.
    :param faults: a line for each injected fault.
    :param violations: violated invariants; empty when all held.
    """

    seed: int
    requests: int
    served: int
    resumed: int
    went_on: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]


def run(
    seed: int,
    for_s: float,
    log_dir: pathlib.Path,
    *,
    has_trouble: bool = True,
) -> Report:
    """Run a fleet under faults and check the invariants.

    :param for_s: how long faults are injected, in seconds.
    :param log_dir: folder for the output of the processes.
    :param has_trouble: some requests crash servers, servers name limits, and all
        routers are killed together.
    """
    processes = ProcessSet(log_dir)
    fleet = PlatformFleet(processes, relayed=True)
    if has_trouble:
        fleet.crashing_part = CRASHING_PART
        fleet.crashing_body = CRASHING_BODY
    try:
        fleet.start(routers=3, runners=3, plain_servers=2)
        return _run(fleet, seed, for_s, has_trouble=has_trouble)
    finally:
        processes.end_all()
        fleet.close()


def _run(
    fleet: PlatformFleet, seed: int, for_s: float, *, has_trouble: bool
) -> Report:
    generator = random.Random(seed)
    checker = InvariantChecker(fleet)
    faults = Faults(fleet, checker, seed, has_trouble=has_trouble)
    callers = [
        Caller(fleet, seed * 100 + index, sends_trouble=has_trouble)
        for index in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    end_s = time.monotonic() + for_s
    withdraw_at_s = time.monotonic() + for_s * 0.4
    withdrawn_at_s: float | None = None
    while time.monotonic() < end_s:
        faults.inject()
        time.sleep(generator.uniform(0.2, 1.2))
        if withdrawn_at_s is None and time.monotonic() > withdraw_at_s:
            withdrawn_at_s = _withdraw(fleet)
    faults.heal()
    for caller in callers:
        caller.stop()
    for caller in callers:
        caller.join()
    # Their last requests may have crashed servers after the faults.
    faults.restart_crashed()
    outcomes = [one for caller in callers for one in caller.outcomes]
    _check_recovery(fleet, checker)
    if has_trouble:
        check_crashing_part(fleet, checker)
        check_crashing_request(fleet, checker)
        check_popular_request(fleet, checker)
        check_limit(fleet, checker)
    checker.collect([*fleet.runners, *fleet.plain_servers])
    checker.check(outcomes, withdrawn_at_s)
    return _report(seed, outcomes, faults, checker)


def _withdraw(fleet: PlatformFleet) -> float | None:
    """Withdraw OTHER_KEY.

    Return the monotonic time in seconds, or ``None`` if the store failed.
    """
    body = configuration(WITHDRAWAL_VERSION)
    body['tenants'][0]['api_keys'] = [KEY]
    try:
        fleet.publish(body)
    except OSError:
        return None
    return time.monotonic()


def _check_recovery(fleet: PlatformFleet, checker: InvariantChecker) -> None:
    deadline_s = time.monotonic() + RECOVERY_S
    pending = [
        (host, path, headers)
        for host in fleet.routers
        for path, headers in (
            ('/book/x', {}),
            ('/draft/x', {'Model': 'm1'}),
            ('/draft/x', {'Model': 'm2'}),
        )
    ]
    while pending and time.monotonic() < deadline_s:
        pending = [one for one in pending if not _is_served(fleet, *one)]
    for host, path, headers in pending:
        checker.add_violation('not served again', f'{host.ip} {path} {headers}')


def _is_served(fleet: PlatformFleet, host, path, headers) -> bool:
    try:
        return fleet.send_request(host, path, headers).status == 200
    except (OSError, HTTPException):
        # A stream that breaks off counts as not served.
        return False


def _report(
    seed: int,
    outcomes: list[Outcome],
    faults: Faults,
    checker: InvariantChecker,
) -> Report:
    served = sum(one.status == 200 and one.is_complete for one in outcomes)
    return Report(
        seed,
        len(outcomes),
        served,
        sum(one.is_resumed for one in outcomes),
        sum(one.is_resumed and one.is_complete for one in outcomes),
        tuple(faults.log),
        tuple(checker.violations),
    )
