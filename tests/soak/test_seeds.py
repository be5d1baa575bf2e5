"""A short run of the soak, and every seed that ever failed."""

import pytest

from soak.run import run

# Seed, length in s, and what was wrong when it failed.
SEEDS = [
    (7, 10, 'a short run for CI'),
]


@pytest.mark.process
@pytest.mark.timeout(180)
@pytest.mark.parametrize(('seed', 'for_s', 'cause'), SEEDS)
def test_promises_hold_under_faults(tmp_path, seed, for_s, cause):
    report = run(seed, for_s, tmp_path)
    assert not report.broken, (report.broken, report.faults, cause)
    assert report.served > 100
