"""Runs seeds of the soak and prints what broke."""

import argparse
import pathlib
import random
import sys
import tempfile

from soak.run import Report, run

FRESH_SEEDS = 1_000_000


def main() -> int:
    """Run seeds one after the other; the status tells whether all held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3, help='fresh seeds')
    parser.add_argument('--seed', type=int, help='one seed again')
    parser.add_argument('--for-s', type=float, default=20)
    parser.add_argument('--keep', help='folder for the output of processes')
    flags = parser.parse_args()
    seeds = [flags.seed]
    if flags.seed is None:
        seeds = [random.randrange(FRESH_SEEDS) for _ in range(flags.seeds)]
    is_whole = True
    for seed in seeds:
        report = run(seed, flags.for_s, _log_dir(flags.keep, seed))
        _show(report)
        is_whole = is_whole and not report.broken
    return 0 if is_whole else 1


def _log_dir(keep: str | None, seed: int) -> pathlib.Path:
    if keep is None:
        return pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    folder = pathlib.Path(keep) / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def _show(report: Report) -> None:
    state = 'BROKEN' if report.broken else 'held'
    sys.stdout.write(
        f'seed {report.seed}: {state}, {report.served} of'
        f' {report.requests} served, {len(report.faults)} faults\n'
    )
    for line in report.broken:
        sys.stdout.write(f'    {line}\n')
    if report.broken:
        for line in report.faults:
            sys.stdout.write(f'        {line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
