"""Measures how the cost of the replicated roster and releases grows.

Run ``python -m benchmarks.folds``. It applies log records to the state of the
roster and of the releases in one process, without network, and prints one
JSON line for each size.
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

# Numbers of routers and agents.
ROSTER_SIZES = ((340, 480), (340, 4800))
# Numbers of models and adapters.
RELEASE_SIZES = ((30, 120), (300, 2300))
RANKED_MODELS = 50
CHANGES_PER_NOTE = 400
US_PER_S = 1_000_000
KB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class RosterCost:
    """Memory and time that a roster of one size takes.

    :param state_kb: memory of the state after all records are applied.
    :param checkpoint_kb: size of the encoded checkpoint.
    :param fold_us_per_record: time to apply one record.
    :param rank_ms_per_model: time to rank all agents for one model.
    """

    routers: int
    agents: int
    state_kb: float
    checkpoint_kb: float
    fold_us_per_record: float
    rank_ms_per_model: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseCost:
    """Memory and time that a catalogue of one size takes.

    :param state_kb: memory of the state after all release notes are applied.
    :param checkpoint_kb: size of the encoded checkpoint.
    :param fold_ms_per_note: time to check, encode and apply a note that
        changes one adapter.
    """

    models: int
    adapters: int
    state_kb: float
    checkpoint_kb: float
    fold_ms_per_note: float


def make_member(role: Role, number: int) -> Member:
    """Return a router or an agent whose fields derive from its number."""
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


def measure_roster(routers: int, agents: int) -> RosterCost:
    """Apply a record for each member, then rank the agents for some models."""
    members = [
        *(make_member(Role.ROUTER, n) for n in range(routers)),
        *(make_member(Role.AGENT, n) for n in range(agents)),
    ]
    records = [
        LogRecord(
            n, encode_record(encode_change(Joined(new_member), f'record-{n}'))
        )
        for n, new_member in enumerate(members)
    ]
    tracemalloc.start()
    fold = RosterFold()
    for record in records:
        fold.apply(record)
    state_kb = tracemalloc.get_traced_memory()[0] / KB
    tracemalloc.stop()
    timed_fold = RosterFold()
    started_s = time.perf_counter()
    for record in records:
        timed_fold.apply(record)
    fold_us = (time.perf_counter() - started_s) / len(records) * US_PER_S
    homes = HomeRankings(timed_fold)
    started_s = time.perf_counter()
    for number in range(RANKED_MODELS):
        homes.ranking(f'model-{number}')
    rank_ms = (time.perf_counter() - started_s) / RANKED_MODELS * 1000
    return RosterCost(
        routers,
        agents,
        round(state_kb),
        round(len(timed_fold.checkpoint()) / KB),
        round(fold_us, 1),
        round(rank_ms, 2),
    )


def measure_releases(models: int, adapters: int) -> ReleaseCost:
    """Publish all objects, then time notes that change one adapter each."""
    deployment = dataclasses.replace(TAQUARI, models=models, adapters=adapters)
    full_note = json.loads(release_note(deployment, organisations(Phases())))
    # A note has a bounded size, so there are several; models come first since
    # an adapter needs its model.
    changes = sorted(
        full_note['changes'], key=lambda change: change['put'] == 'adapter'
    )
    notes = [
        changes[start : start + CHANGES_PER_NOTE]
        for start in range(0, len(changes), CHANGES_PER_NOTE)
    ]
    tracemalloc.start()
    fold = ReleaseFold()
    for note in notes:
        _apply_changes(fold, note)
    state_kb = tracemalloc.get_traced_memory()[0] / KB
    tracemalloc.stop()
    updates = [{**changes[-1], 'base': base} for base in range(1, 21)]
    started_s = time.perf_counter()
    for change in updates:
        _apply_changes(fold, [change])
    fold_ms = (time.perf_counter() - started_s) / len(updates) * 1000
    assert len(fold.adapters()) == adapters
    return ReleaseCost(
        models,
        adapters,
        round(state_kb),
        round(len(fold.checkpoint()) / KB),
        round(fold_ms, 2),
    )


def _apply_changes(fold: ReleaseFold, changes: list[dict]) -> None:
    note = parse_note(json.dumps({'changes': changes}).encode())
    record = prepare_record(fold, note, 0)
    fold.apply(LogRecord(fold.next_offset, encode_record(record)))


def main() -> int:
    """Measure each size and print the results."""
    results = (
        *(measure_roster(*size) for size in ROSTER_SIZES),
        *(measure_releases(*size) for size in RELEASE_SIZES),
    )
    for result in results:
        sys.stdout.write(msgspec.json.encode(result).decode() + '\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
