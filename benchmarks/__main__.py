"""Measures lagoonflow and two baselines: one JSON line per policy."""

import argparse
import pathlib
import sys

import msgspec

from benchmarks.storm.arrivals import Phases
from benchmarks.storm.deployments import DEPLOYMENTS
from benchmarks.storm.runs import POLICIES, measure


def main() -> int:
    """Run the wanted policies on the wanted seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default='taquari'
    )
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument(
        '--policies', nargs='+', choices=POLICIES, default=list(POLICIES)
    )
    parser.add_argument('--logs', type=pathlib.Path, default=None)
    flags = parser.parse_args()
    deployment = DEPLOYMENTS[flags.deployment]
    for seed in flags.seeds:
        for policy in flags.policies:
            line = measure(policy, deployment, Phases(), seed, flags.logs)
            sys.stdout.write(msgspec.json.encode(line).decode() + '\n')
            sys.stdout.flush()
    return 0


if __name__ == '__main__':
    sys.exit(main())
