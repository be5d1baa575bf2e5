"""Measures what idle routers and agents cost.

Run ``python -m benchmarks.idle --routers 3 10 30``. It prints one JSON line
for each fleet size, with resident memory, processor time and bytes received
per process and second. The bytes are counted on the loopback interface, over
all processes and with headers, so they are an upper bound for routers and
agents.
"""

import argparse
import dataclasses
import os
import pathlib
import sys
import tempfile
import time

import msgspec

from benchmarks.storm.arrivals import Phases, organisations
from benchmarks.storm.deployments import TAQUARI, Deployment
from benchmarks.storm.fleet import release_note
from loopback.cluster import Cluster
from loopback.processes import Process, ProcessSet

KB = 1024
SETTLE_S = 8
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PROC = pathlib.Path('/proc')


@dataclasses.dataclass(frozen=True, slots=True)
class RoleCost:
    """Memory and processor time of the processes of one role.

    :param core_percent_mean: mean processor time, in percent of one core.
    :param core_percent_max: the same for the busiest process.
    """

    role: str
    processes: int
    resident_mb_mean: float
    resident_mb_max: float
    core_percent_mean: float
    core_percent_max: float


@dataclasses.dataclass(frozen=True, slots=True)
class IdleFleet:
    """What a fleet of one size costs while it is idle.

    :param seconds: how long the fleet was measured.
    :param bytes_per_process_s: bytes received on the loopback interface per
        second, divided by the number of routers and agents.
    """

    routers: int
    agents: int
    models: int
    seconds: float
    bytes_per_process_s: float
    costs: list[RoleCost]


def resident_mb(process: Process) -> float:
    """Return the resident memory of a process, in MB."""
    for line in (PROC / str(process.pid) / 'status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / KB
    return 0


def cpu_s(process: Process) -> float:
    """Return the user and system time of a process, in s."""
    stat = (PROC / str(process.pid) / 'stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def loopback_bytes() -> int:
    """Return the bytes received on the loopback interface since boot."""
    for line in (PROC / 'net/dev').read_text().splitlines():
        name, _, counters = line.partition(':')
        if name.strip() == 'lo':
            return int(counters.split()[0])
    return 0


def measure(
    routers: int,
    agents: int,
    deployment: Deployment,
    seconds: float,
) -> IdleFleet:
    """Start a fleet, let it settle, and measure it while it is idle.

    :param seconds: how long to measure.
    """
    with tempfile.TemporaryDirectory() as folder:
        processes = ProcessSet(pathlib.Path(folder))
        cluster = Cluster(processes)
        try:
            cluster.start_fleet(routers, agents)
            note = pathlib.Path(folder) / 'note.yaml'
            note.write_text(release_note(deployment, organisations(Phases())))
            log = cluster.address('log service')
            published = cluster.ctl(
                'release', 'publish', str(note), '--log-url', f'http://{log}'
            )
            assert published.returncode == 0, published.stderr
            time.sleep(SETTLE_S)
            return _measure_idle(cluster, routers, agents, deployment, seconds)
        finally:
            cluster.close()
            processes.end_all()


def _measure_idle(
    cluster: Cluster,
    routers: int,
    agents: int,
    deployment: Deployment,
    seconds: float,
) -> IdleFleet:
    groups = {
        'router': [cluster.process(f'router {n + 1}') for n in range(routers)],
        'agent': [cluster.process(f'agent {n + 1}') for n in range(agents)],
    }
    all_processes = [member for group in groups.values() for member in group]
    before_s = {member.name: cpu_s(member) for member in all_processes}
    before_bytes = loopback_bytes()
    started_s = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    received_bytes = loopback_bytes() - before_bytes
    costs = []
    for role, group in groups.items():
        resident = [resident_mb(member) for member in group]
        core_percent = [
            (cpu_s(member) - before_s[member.name]) / elapsed_s * 100
            for member in group
        ]
        costs.append(
            RoleCost(
                role,
                len(group),
                round(sum(resident) / len(resident), 1),
                round(max(resident), 1),
                round(sum(core_percent) / len(core_percent), 2),
                round(max(core_percent), 2),
            ),
        )
    return IdleFleet(
        routers,
        agents,
        deployment.models,
        round(elapsed_s, 1),
        round(received_bytes / elapsed_s / len(all_processes)),
        costs,
    )


def main() -> int:
    """Measure each combination of the numbers of models, agents and routers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--routers', type=int, nargs='+', default=[3, 10, 30])
    parser.add_argument('--agents', type=int, nargs='+', default=[3])
    parser.add_argument('--models', type=int, nargs='+', default=[30])
    parser.add_argument('--seconds', type=float, default=20)
    flags = parser.parse_args()
    for models in flags.models:
        deployment = dataclasses.replace(
            TAQUARI, models=models, adapters=models * 4
        )
        for agents in flags.agents:
            for routers in flags.routers:
                result = measure(routers, agents, deployment, flags.seconds)
                sys.stdout.write(msgspec.json.encode(result).decode() + '\n')
                sys.stdout.flush()
    return 0


if __name__ == '__main__':
    sys.exit(main())
