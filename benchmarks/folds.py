"""Slopes of the agreed state: ``python -m benchmarks.folds``.

Drives the folds in one process, without network: one JSON line per size.
"""

import dataclasses
import hashlib
import json
import sys
import time
import tracemalloc

import msgspec

from benchmarks.storm.arrivals import Phases, organisations
from benchmarks.storm.deployments import TAQUARI
from benchmarks.storm.fleet import release_note
from lagoonflow.releases.note import parse_note
from lagoonflow.releases.publish import prepare_record
from lagoonflow.releases.state import ReleaseFold
from lagoonflow.roster.homes import HomeRankings
from lagoonflow.roster.messages import Joined, Member, Role
from lagoonflow.roster.records import encode_change
from lagoonflow.roster.state import RosterFold
from lagoonflow.streams.envelope import encode_record
from lagoonflow.streams.messages import LogRecord

SIZES = ((340, 480), (340, 4800))
RELEASES = ((30, 120), (300, 2300))
RANKED_MODELS = 50
CHANGES_PER_NOTE = 400
US_PER_S = 1_000_000
KB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class RosterSlope:
    """The roster at one size."""

    routers: int
    agents: int
    state_kb: float
    checkpoint_kb: float
    fold_us_per_record: float
    rank_ms_per_model: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlope:
    """The releases at one size."""

    models: int
    adapters: int
    state_kb: float
    checkpoint_kb: float
    fold_ms_per_note: float


def member(role: Role, number: int) -> Member:
    """Return one member."""
    return Member(
        name=f'{role.value}-{number}',
        role=role,
        host=f'10.{number // 65536}.{number // 256 % 256}.{number % 256}',
        port=7000,
        zone=f'zone-{number % 6}',
        nonce=hashlib.md5(str(number).encode()).hexdigest(),
        admin_port=7001,
        has_engine=role is Role.AGENT,
    )


def measure_roster(routers: int, agents: int) -> RosterSlope:
    """Fold a roster, and rank its agents."""
    members = [
        *(member(Role.ROUTER, n) for n in range(routers)),
        *(member(Role.AGENT, n) for n in range(agents)),
    ]
    records = [
        LogRecord(n, encode_record(encode_change(Joined(one), f'record-{n}')))
        for n, one in enumerate(members)
    ]
    tracemalloc.start()
    fold = RosterFold()
    for record in records:
        fold.apply(record)
    state_kb = tracemalloc.get_traced_memory()[0] / KB
    tracemalloc.stop()
    timed = RosterFold()
    begun_s = time.perf_counter()
    for record in records:
        timed.apply(record)
    fold_us = (time.perf_counter() - begun_s) / len(records) * US_PER_S
    homes = HomeRankings(timed)
    begun_s = time.perf_counter()
    for number in range(RANKED_MODELS):
        homes.ranking(f'model-{number}')
    rank_ms = (time.perf_counter() - begun_s) / RANKED_MODELS * 1000
    return RosterSlope(
        routers,
        agents,
        round(state_kb),
        round(len(timed.checkpoint()) / KB),
        round(fold_us, 1),
        round(rank_ms, 2),
    )


def measure_releases(models: int, adapters: int) -> ReleaseSlope:
    """Fold all objects, and then notes that change one adapter each."""
    deployment = dataclasses.replace(TAQUARI, models=models, adapters=adapters)
    written = json.loads(release_note(deployment, organisations(Phases())))
    # Adapters come after their models, in notes of a bounded size.
    changes = sorted(
        written['changes'], key=lambda change: change['put'] == 'adapter'
    )
    notes = [
        changes[start : start + CHANGES_PER_NOTE]
        for start in range(0, len(changes), CHANGES_PER_NOTE)
    ]
    tracemalloc.start()
    fold = ReleaseFold()
    for note in notes:
        _publish(fold, note)
    state_kb = tracemalloc.get_traced_memory()[0] / KB
    tracemalloc.stop()
    small = [{**changes[-1], 'base': base} for base in range(1, 21)]
    begun_s = time.perf_counter()
    for change in small:
        _publish(fold, [change])
    took_ms = (time.perf_counter() - begun_s) / len(small) * 1000
    assert len(fold.adapters()) == adapters
    return ReleaseSlope(
        models,
        adapters,
        round(state_kb),
        round(len(fold.checkpoint()) / KB),
        round(took_ms, 2),
    )


def _publish(fold: ReleaseFold, changes: list[dict]) -> None:
    note = parse_note(json.dumps({'changes': changes}).encode())
    record = prepare_record(fold, note, 0)
    fold.apply(LogRecord(fold.next_offset, encode_record(record)))


def main() -> int:
    """Measure all sizes."""
    lines = (
        *(measure_roster(*size) for size in SIZES),
        *(measure_releases(*size) for size in RELEASES),
    )
    for line in lines:
        sys.stdout.write(msgspec.json.encode(line).decode() + '\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
