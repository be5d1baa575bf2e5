"""What idle processes cost: ``python -m benchmarks.idle --routers 3 10 30``.

One JSON line per fleet size: resident memory, processor time and bytes per
process and second. Bytes are those of the loopback interface over all
processes, headers included, so they are an upper bound for the programs.
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
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PROC = pathlib.Path('/proc')


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one role costs at one fleet size."""

    role: str
    processes: int
    resident_mb_mean: float
    resident_mb_max: float
    core_percent_mean: float
    core_percent_max: float


@dataclasses.dataclass(frozen=True, slots=True)
class IdleFleet:
    """One fleet size."""

    routers: int
    agents: int
    models: int
    seconds: float
    bytes_per_process_s: float
    costs: list[Cost]


def resident_mb(process: Process) -> float:
    """Return the resident memory of a process, in MB."""
    for line in (PROC / str(process.pid) / 'status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / KB
    return 0


def processor_s(process: Process) -> float:
    """Return the processor time of a process, in s."""
    stat = (PROC / str(process.pid) / 'stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def loopback_bytes() -> int:
    """Return the bytes received on the loopback interface."""
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
    """Start a fleet, let it settle, and watch it idle."""
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
            return _watch(cluster, routers, agents, deployment, seconds)
        finally:
            cluster.close()
            processes.end_all()


def _watch(
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
    everyone = [one for group in groups.values() for one in group]
    before_s = {one.name: processor_s(one) for one in everyone}
    before_bytes = loopback_bytes()
    begun_s = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - begun_s
    sent_bytes = loopback_bytes() - before_bytes
    costs = []
    for role, group in groups.items():
        memory = [resident_mb(one) for one in group]
        load = [
            (processor_s(one) - before_s[one.name]) / elapsed_s * 100
            for one in group
        ]
        costs.append(
            Cost(
                role,
                len(group),
                round(sum(memory) / len(memory), 1),
                round(max(memory), 1),
                round(sum(load) / len(load), 2),
                round(max(load), 2),
            ),
        )
    return IdleFleet(
        routers,
        agents,
        deployment.models,
        round(elapsed_s, 1),
        round(sent_bytes / elapsed_s / len(everyone)),
        costs,
    )


def main() -> int:
    """Measure the wanted fleet sizes."""
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
                line = measure(routers, agents, deployment, flags.seconds)
                sys.stdout.write(msgspec.json.encode(line).decode() + '\n')
                sys.stdout.flush()
    return 0


if __name__ == '__main__':
    sys.exit(main())
