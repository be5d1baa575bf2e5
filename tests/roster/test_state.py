"""Tests of the roster fold, home rankings, pauses and the host monitor."""

import dataclasses
import time

from lagoonflow.roster.homes import HomeRankings, home_of, rank_members
from lagoonflow.roster.host_monitor import (
    HostMonitor,
    HostMonitorSettings,
    HostState,
)
from lagoonflow.roster.messages import (
    Gone,
    Joined,
    Left,
    Member,
    Role,
    RosterChange,
)
from lagoonflow.roster.pause import PauseDetector
from lagoonflow.roster.records import encode_change
from lagoonflow.roster.state import RosterFold
from lagoonflow.streams.envelope import encode_record
from lagoonflow.streams.messages import LogRecord


def member(number: int, role: Role = Role.AGENT, nonce: str = 'a') -> Member:
    return Member(
        f'{role}-{number}',
        role,
        f'127.0.1.{number}',
        7000,
        'zone-1',
        nonce,
        has_engine=role is Role.AGENT,
    )


def apply_change(fold: RosterFold, roster_change: RosterChange) -> None:
    offset = fold.next_offset
    text = encode_record(encode_change(roster_change, f'record-{offset}'))
    fold.apply(LogRecord(offset, text))


def fold_of(*members: Member) -> RosterFold:
    fold = RosterFold()
    for entry in members:
        apply_change(fold, Joined(entry))
    return fold


def test_successor_replaces_predecessor_and_joins_last() -> None:
    fold = fold_of(member(1), member(2), member(1, nonce='b'))
    assert [entry.nonce for entry in fold.members] == ['a', 'b']
    assert [entry.joined_version for entry in fold.memberships] == [2, 3]


def test_departure_of_a_predecessor_is_ignored() -> None:
    fold = fold_of(member(1), member(1, nonce='b'))
    apply_change(fold, Gone('agent-1', 'a'))
    apply_change(fold, Left('agent-1', 'a'))
    assert fold.is_member('agent-1', 'b')
    apply_change(fold, Left('agent-1', 'b'))
    assert fold.members == ()


def test_checkpoint_keeps_the_order_of_joining() -> None:
    fold = fold_of(member(1), member(2), member(1, nonce='b'))
    restored = RosterFold()
    assert restored.restore(fold.checkpoint())
    assert restored.memberships == fold.memberships
    assert restored.version == fold.version == 3


def test_invalid_record_is_rejected() -> None:
    fold = fold_of(member(1))
    fold.apply(LogRecord(1, '{"id": "x", "kind": "joined", "body": {}}'))
    fold.apply(LogRecord(2, '{"id": "y", "kind": "other", "body": {}}'))
    assert fold.rejected_count == 2
    assert fold.members == (member(1),)


def test_members_are_found_by_role_and_service() -> None:
    booking = dataclasses.replace(
        member(2), services=('booking',), has_engine=False
    )
    fold = fold_of(member(1), booking, member(3, Role.ROUTER))
    assert [entry.name for entry in fold.routers()] == ['router-3']
    assert fold.engine_agents() == (member(1),)
    assert fold.agents_offering('booking') == (booking,)


def test_home_moves_only_when_the_home_departs() -> None:
    agents = [member(number) for number in range(9)]
    before = {f'm{n}': rank_members(f'm{n}', agents)[0] for n in range(300)}
    after = {f'm{n}': rank_members(f'm{n}', agents[1:])[0] for n in range(300)}
    moved = {model for model in before if before[model] != after[model]}
    assert moved == {m for m in before if before[m] == agents[0]}
    assert 15 < len(moved) < 60


def test_cached_rankings_are_refreshed_when_the_roster_changes() -> None:
    fold = fold_of(*map(member, range(5)))
    homes = HomeRankings(fold)
    home = homes.home_of('m')
    assert home == home_of('m', fold)
    apply_change(fold, Left(home.name, home.nonce))
    assert homes.home_of('m') == home_of('m', fold) != home


def test_ranking_at_target_size_is_fast() -> None:
    homes = HomeRankings(fold_of(*map(member, range(340))))
    started_s = time.perf_counter()
    for number in range(300):
        homes.home_of(f'm{number}')
    assert time.perf_counter() - started_s < 1


def test_pause_detector_reports_gaps_once() -> None:
    detector = PauseDetector(0, threshold_ms=1000)
    assert [detector.tick(t) for t in (500, 1400, 2500, 3000)] == [
        False,
        False,
        True,
        False,
    ]


def test_gone_member_is_reported_after_lag_and_jitter() -> None:
    fold = fold_of(member(1), member(2), member(3))
    settings = HostMonitorSettings(list_lag_ms=5000, jitter_ms=2000)
    reports = []
    for number in (1, 3):
        monitor = HostMonitor(f'agent-{number}', f'127.0.1.{number}', settings)
        hosts = {f'127.0.1.{n}': HostState.LIVE for n in (1, 3)}
        times = [
            now
            for now in range(0, 9000, 10)
            if monitor.on_host_list(now, hosts, fold)
        ]
        reports.append(times[0])
        assert not monitor.is_schedulable(member(2))
    assert all(5000 < report <= 7010 for report in reports)
    assert reports[0] != reports[1]


def test_member_on_a_returned_or_leaving_host_is_not_reported_gone() -> None:
    fold = fold_of(member(1), member(2))
    monitor = HostMonitor('agent-1', '127.0.1.1')
    live = {'127.0.1.1': HostState.LIVE}
    assert monitor.on_host_list(0, live, fold) == []
    leaving = live | {'127.0.1.2': HostState.LEAVING}
    assert monitor.on_host_list(6000, leaving, fold) == []
    assert monitor.is_leaving(member(2)) and not monitor.is_schedulable(
        member(2)
    )
    assert monitor.on_host_list(60000, live, fold) == []


def test_host_list_without_own_host_is_ignored() -> None:
    fold = fold_of(member(1), member(2))
    monitor = HostMonitor('agent-1', '127.0.1.1')
    for now_ms in (0, 60000):
        assert monitor.on_host_list(now_ms, {}, fold) == []
    assert monitor.is_schedulable(member(2))
