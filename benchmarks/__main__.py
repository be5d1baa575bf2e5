"""Compares lagoonflow with two baselines under a storm of requests.

Prints one JSON line for each policy and seed.
"""

import argparse
import pathlib
import sys

import msgspec

from benchmarks.storm.arrivals import Phases
from benchmarks.storm.deployments import DEPLOYMENTS
from benchmarks.storm.runs import POLICIES, measure


def main() -> int:
    """Measure each selected policy with each selected seed."""
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
            measures = measure(policy, deployment, Phases(), seed, flags.logs)
            sys.stdout.write(msgspec.json.encode(measures).decode() + '\n')
            sys.stdout.flush()
    return 0


if __name__ == '__main__':
    sys.exit(main())
