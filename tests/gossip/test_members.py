"""Tests which other routers are taken to be running."""

from lagoonflow.gossip.members import SILENCE_TIMEOUT_MS, Members, RouterMember


def make_members(*names):
    members = Members('r0')
    for name in names:
        members.register(RouterMember(name, f'{name}:1'), 0)
    return members


def present(members, now_ms):
    return [member.name for member in members.present(now_ms)]


def test_registered_routers_are_present():
    assert present(make_members('r0', 'r1', 'r2'), 1000) == ['r1', 'r2']


def test_a_leaving_router_is_not_present():
    members = make_members('r1', 'r2')
    members.record_message('r1', 100, is_leaving=True)
    assert present(members, 200) == ['r2']


def test_a_silent_router_is_removed_while_most_others_are_heard():
    members = make_members('r1', 'r2')
    later_ms = SILENCE_TIMEOUT_MS + 1000
    members.record_message('r1', later_ms, is_leaving=False)
    assert present(members, later_ms) == ['r1']


def test_a_router_that_hears_nobody_keeps_all_others():
    assert present(make_members('r1', 'r2'), 10 * SILENCE_TIMEOUT_MS) == [
        'r1',
        'r2',
    ]


def test_a_router_registers_with_a_new_address():
    members = make_members('r1')
    members.register(RouterMember('r1', 'new:1'), 500)
    assert members.present(600)[0].address == 'new:1'
