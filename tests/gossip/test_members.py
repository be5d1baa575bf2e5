"""Which routers belong to the fleet."""

from lagoonflow.gossip.members import SILENCE_TIMEOUT_MS, Members, RouterMember


def members(*names):
    made = Members('r0')
    for name in names:
        made.register(RouterMember(name, f'{name}:1'), 0)
    return made


def present(made, now_ms):
    return [member.name for member in made.present(now_ms)]


def test_registered_routers_count():
    assert present(members('r0', 'r1', 'r2'), 1000) == ['r1', 'r2']


def test_a_router_that_says_goodbye_does_not_count():
    made = members('r1', 'r2')
    made.record_message('r1', 100, is_leaving=True)
    assert present(made, 200) == ['r2']


def test_a_silent_router_is_gone_for_those_who_hear_the_others():
    made = members('r1', 'r2')
    later_ms = SILENCE_TIMEOUT_MS + 1000
    made.record_message('r1', later_ms, is_leaving=False)
    assert present(made, later_ms) == ['r1']


def test_a_router_that_hears_nobody_keeps_all():
    assert present(members('r1', 'r2'), 10 * SILENCE_TIMEOUT_MS) == ['r1', 'r2']


def test_a_router_comes_back_at_another_address():
    made = members('r1')
    made.register(RouterMember('r1', 'new:1'), 500)
    assert made.present(600)[0].address == 'new:1'
