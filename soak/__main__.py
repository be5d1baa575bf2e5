"""Runs seeds of the soak test and prints the invariants they violated."""

import argparse
import pathlib
import random
import sys
import tempfile

from soak.run import Report, run

SEED_RANGE = 1_000_000


def main() -> int:
    """Run the seeds in turn; return 1 when an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--seeds', type=int, default=3, help='number of random seeds'
    )
    parser.add_argument('--seed', type=int, help='run only this seed')
    parser.add_argument('--for-s', type=float, default=20)
    parser.add_argument('--keep', help='folder that keeps process output')
    flags = parser.parse_args()
    seeds = [flags.seed]
    if flags.seed is None:
        seeds = [random.randrange(SEED_RANGE) for _ in range(flags.seeds)]
    has_passed = True
    for seed in seeds:
        report = run(seed, flags.for_s, _log_dir(flags.keep, seed))
        _show(report)
        has_passed = has_passed and not report.violations
    return 0 if has_passed else 1


def _log_dir(keep: str | None, seed: int) -> pathlib.Path:
    if keep is None:
        return pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    folder = pathlib.Path(keep) / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def _show(report: Report) -> None:
    state = 'BROKEN' if report.violations else 'held'
    sys.stdout.write(
        f'seed {report.seed}: {state}, {report.served} of'
        f' {report.requests} served, {report.went_on} of'
        f' {report.resumed} resumed streams went on,'
        f' {len(report.faults)} faults\n'
    )
    for line in report.violations:
        sys.stdout.write(f'    {line}\n')
    if report.violations:
        for line in report.faults:
            sys.stdout.write(f'        {line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
