"""Tests of how crashes are told from other ends of connections."""

import dataclasses

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.crashes.watch import (
    MAX_ANSWERS,
    SIGN_MS,
    SURVIVAL_MS,
    SUSPECT_MS,
    BrokenSend,
    CrashWatch,
)
from lagoonflow.gossip.messages import AgentState

NOW_MS = 5000.0
WALL_MS = 9_000_000
SERVER = BackendServer('i-1', 'llm', '10.0.0.1:80', 'z', 8, started_ms=4)


def make_watch():
    evidence = CrashEvidence()
    fleet = Fleet()
    fleet.roster.put(SERVER, NOW_MS)
    return fleet, evidence, CrashWatch(fleet, evidence)


def broken(*parts, first_part_at_ms=None, has_begun=True):
    sent_at_ms = NOW_MS - 200
    return BrokenSend(SERVER, parts, sent_at_ms, has_begun, first_part_at_ms)


def suspects(evidence):
    return [sorted(entry.suspects) for entry in evidence.entries()]


def test_a_broken_answer_of_a_server_that_still_listens_is_no_crash():
    _, evidence, watch = make_watch()
    assert watch.note_broken(broken('a'), NOW_MS, WALL_MS)
    watch.confirm_by_fleet(NOW_MS + 100, WALL_MS)
    assert not evidence.entries()


def test_a_server_that_refuses_connections_has_crashed():
    _, evidence, watch = make_watch()
    watch.note_broken(broken('a'), NOW_MS, WALL_MS)
    watch.confirm(SERVER, NOW_MS + 5, WALL_MS + 5)
    (crash,) = evidence.entries()
    assert crash.suspects == {'a'}
    assert (crash.at_ms, crash.request_ages_ms) == (WALL_MS, {'a': 200})


def test_requests_that_break_later_in_the_same_crash_are_added():
    _, evidence, watch = make_watch()
    watch.note_broken(broken('a'), NOW_MS, WALL_MS)
    watch.confirm(SERVER, NOW_MS + 5, WALL_MS + 5)
    watch.note_broken(broken('b'), NOW_MS + 6, WALL_MS + 6)
    assert suspects(evidence) == [['a', 'b']]


def test_a_waiting_request_is_suspected_beside_one_whose_answer_had_begun():
    _, evidence, watch = make_watch()
    watch.note_broken(broken('waits', has_begun=False), NOW_MS, WALL_MS)
    watch.confirm(SERVER, NOW_MS + 5, WALL_MS + 5)
    assert suspects(evidence) == [['waits']]
    watch.note_broken(broken('begun'), NOW_MS + 6, WALL_MS + 6)
    assert suspects(evidence) == [['begun', 'waits']]


def test_a_request_whose_answer_had_long_begun_is_no_suspect():
    _, evidence, watch = make_watch()
    began_ms = NOW_MS - SUSPECT_MS
    assert not watch.note_broken(
        broken('a', first_part_at_ms=began_ms), NOW_MS, WALL_MS
    )
    watch.confirm(SERVER, NOW_MS, WALL_MS)
    assert not evidence.entries()


def test_an_agent_whose_runner_is_down_confirms_a_crash():
    fleet, evidence, watch = make_watch()
    watch.note_broken(broken('a'), NOW_MS, WALL_MS)
    fleet.observe_agent(AgentState('agent', 'i-1', 4, is_down=True), NOW_MS)
    watch.confirm_by_fleet(NOW_MS + 200, WALL_MS)
    assert suspects(evidence) == [['a']]


def test_another_start_at_the_same_address_confirms_a_crash():
    fleet, evidence, watch = make_watch()
    watch.note_broken(broken('a'), NOW_MS, WALL_MS)
    again = dataclasses.replace(SERVER, instance='i-2', started_ms=5)
    fleet.roster.put(again, NOW_MS + 900)
    watch.confirm_by_fleet(NOW_MS + 900, WALL_MS)
    assert suspects(evidence) == [['a']]


def test_a_restart_long_after_a_broken_answer_is_no_crash_under_it():
    fleet, evidence, watch = make_watch()
    watch.note_broken(broken('a'), NOW_MS, WALL_MS)
    again = dataclasses.replace(SERVER, instance='i-2', started_ms=5)
    fleet.roster.put(again, NOW_MS + SIGN_MS + 1)
    watch.confirm_by_fleet(NOW_MS + SIGN_MS + 1, WALL_MS)
    assert not evidence.entries()


def test_a_server_without_signs_of_a_crash_has_survived():
    fleet, _, watch = make_watch()
    assert not watch.may_have_crashed(SERVER, NOW_MS)
    watch.note_broken(broken('a'), NOW_MS, WALL_MS)
    assert watch.may_have_crashed(SERVER, NOW_MS)


def test_connections_that_end_together_lead_to_one_check():
    _, _, watch = make_watch()
    due = [watch.note_broken(broken('a'), NOW_MS, WALL_MS) for _ in range(5)]
    assert due == [True, False, False, False, False]


def answered_call(watch, before_ms, name='answered', *, is_trial=False):
    watch.note_answered(
        SERVER, name, NOW_MS - 900, NOW_MS - before_ms, is_trial=is_trial
    )


def test_a_request_answered_just_before_the_crash_is_suspected():
    _, evidence, watch = make_watch()
    answered_call(watch, SURVIVAL_MS - 50)
    answered_call(watch, SURVIVAL_MS + 50, 'survived')
    assert watch.note_idle_closed(SERVER, NOW_MS)
    watch.confirm(SERVER, NOW_MS + 5, WALL_MS)
    (crash,) = evidence.entries()
    assert list(crash.call_ages_ms) == ['answered']


def test_a_crash_names_the_requests_that_were_suspected_before():
    _, evidence, watch = make_watch()
    for name, is_trial in (('broken', True), ('sound', False)):
        send = broken('a')
        watch.note_broken(
            dataclasses.replace(send, fingerprint=name, is_trial=is_trial),
            NOW_MS,
            WALL_MS,
        )
    answered_call(watch, 10, is_trial=True)
    watch.confirm(SERVER, NOW_MS, WALL_MS)
    (crash,) = evidence.entries()
    assert crash.trials == ('answered', 'broken')
    assert set(crash.call_ages_ms) == {'answered', 'broken', 'sound'}


def test_a_server_that_closes_idle_connections_is_no_sign_of_a_crash():
    _, _, watch = make_watch()
    assert not watch.note_idle_closed(SERVER, NOW_MS)
    answered_call(watch, 10)
    assert watch.note_idle_closed(SERVER, NOW_MS)
    watch.note_listening(SERVER)
    assert not watch.may_have_crashed(SERVER, NOW_MS)


def test_a_request_is_suspected_however_long_its_answer_went_on():
    _, evidence, watch = make_watch()
    began_ms = NOW_MS - 9000
    late = BrokenSend(SERVER, ('a',), began_ms, True, began_ms, 'call')
    watch.note_broken(late, NOW_MS, WALL_MS)
    watch.confirm(SERVER, NOW_MS, WALL_MS)
    (crash,) = evidence.entries()
    assert crash.call_ages_ms == {'call': 9000}
    assert not crash.suspects


def test_answers_of_servers_are_forgotten():
    _, _, watch = make_watch()
    for number in range(200):
        answered_call(watch, 0, f'c{number}')
    watch.confirm_by_fleet(NOW_MS + 100, WALL_MS)
    assert sum(len(one) for one in watch._answers.values()) == MAX_ANSWERS
    watch.confirm_by_fleet(NOW_MS + 10_000, WALL_MS)
    assert not watch._answers
