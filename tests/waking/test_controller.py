"""Which order a runner gets next."""

import msgspec

from lagoonflow.waking.messages import OrderKind
from tests.waking.builders import (
    NOW_MS,
    STARTED_MS,
    held,
    keeper,
    report,
    router,
    spec,
    wish,
)


def decide(made, account, now_ms=NOW_MS):
    made.runner_view.record_report(account, now_ms)
    return made.next_order(now_ms)


def test_loads_a_wanted_model_into_free_memory():
    step = decide(keeper(router(wish('m2'))), report(held('m1')))
    assert (step.kind, step.model, step.after_sequence) == (
        OrderKind.LOAD,
        'm2',
        3,
    )
    assert not step.is_from_store


def test_orders_nothing_without_a_registered_instance():
    made = keeper()
    assert decide(made, report(held('m1'))) is None


def test_orders_nothing_for_another_start_of_the_runner():
    made = keeper(router(wish('m2')))
    assert decide(made, report(held('m1'), started_ms=8)) is None


def test_orders_nothing_on_an_old_report():
    made = keeper(router(wish('m2')))
    made.runner_view.record_report(report(held('m1')), NOW_MS - 5000)
    assert made.next_order(NOW_MS) is None


def test_makes_way_with_the_least_demanded_idle_model():
    made = keeper(router(wish('m3'), demand={'m1': 2.0, 'm2': 0.1}))
    account = report(held('m1'), held('m2'))
    made.runner_view.record_report(account, NOW_MS - 700)
    step = decide(made, account)
    assert (step.kind, step.model) == (OrderKind.UNLOAD, 'm2')


def test_drops_idle_models_before_those_with_running_requests():
    demand = {'m1': 0.1, 'm2': 1.0}
    made = keeper(router(wish('m3'), running={'m1/a1': 1}, demand=demand))
    account = report(held('m1', 'a1'), held('m2'))
    made.runner_view.record_report(account, NOW_MS - 700)
    assert decide(made, account).model == 'm2'


def test_denies_when_requests_wait_for_all_held_models():
    made = keeper(router(wish('m3'), wish('m1', 'a1'), wish('m2', 'a1')))
    made.runner_view.spec = spec(max_adapters=0)
    account = report(held('m1'), held('m2'))
    made.runner_view.record_report(account, NOW_MS - 700)
    assert decide(made, account) is None
    load_rejections = made.agent_state(NOW_MS).load_rejections
    assert 'm3' in {denial.model for denial in load_rejections}


def test_gives_a_fresh_model_time_to_serve():
    made = keeper(router(wish('m3')))
    account = report(held('m1'), held('m2'))
    assert decide(made, account) is None


def test_loads_an_adapter_of_a_held_model():
    step = decide(keeper(router(wish('m1', 'a2'))), report(held('m1')))
    assert (step.kind, step.model, step.adapter) == (
        OrderKind.LOAD,
        'm1',
        'a2',
    )


def test_orders_no_adapter_while_a_model_is_loaded():
    # The runner answers every order with a conflict until it is done.
    made = keeper(router(wish('m1', 'a2')))
    assert decide(made, report(held('m1'), busy=True)) is None


def test_makes_way_for_an_adapter_with_the_least_used_idle_one():
    adapters = tuple(f'a{number}' for number in range(8))
    made = keeper(router(wish('m1', 'a9'), running={'m1/a0': 1}))
    step = decide(made, report(held('m1', *adapters)))
    assert step.kind is OrderKind.UNLOAD
    assert step.adapter not in {'', 'a0'}


def test_keeps_to_its_part_of_the_store_loads():
    made = keeper(router(wish('m2'), wish('m3'), agents=4))
    account = report(on_disk=())
    first = decide(made, account)
    assert first.is_from_store
    made.runner_view.record_accepted(first, NOW_MS)
    later = report(held('m2'), sequence=4, on_disk=('m2',))
    assert decide(made, later, NOW_MS + 1000) is None


def test_keeps_room_for_a_load_without_an_answer():
    made = keeper(router(wish('m2')))
    account = report(held('m1'), sequence=0)
    step = decide(made, account)
    made.runner_view.record_unanswered(step, NOW_MS)
    assert made.agent_state(NOW_MS).free_mb == 140_000 - 2 * 60_000


def test_forgets_an_order_once_the_runner_shows_it_done():
    made = keeper(router(wish('m2')))
    step = decide(made, report(held('m1')))
    made.runner_view.record_accepted(step, NOW_MS)
    assert made.agent_state(NOW_MS).loading == 'm2'
    made.runner_view.record_report(
        report(held('m1'), held('m2'), sequence=4), NOW_MS + 500
    )
    assert not made.agent_state(NOW_MS + 500).loading


def test_waits_for_its_turn_at_the_store():
    made = keeper(router(wish('m2'), may_use_store=False))
    assert decide(made, report(on_disk=())) is None
    made.runner_view.record_report(report(on_disk=()), NOW_MS + 300)
    assert made.agent_state(NOW_MS + 300).store_demand_per_s > 0


def test_loads_from_the_store_what_is_asked_for_most():
    load_requests = (wish('m2'), wish('m3'))
    made = keeper(router(*load_requests, demand={'m2': 0.1, 'm3': 2.0}))
    step = decide(made, report(on_disk=()))
    assert step.model == 'm3'


def test_a_copy_goes_before_the_store():
    load_requests = (wish('m3'), wish('m2'))
    made = keeper(router(*load_requests, demand={'m3': 2.0}))
    step = decide(made, report(on_disk=('m2',)))
    assert step.model == 'm2'


def test_fetches_ahead_what_lies_nowhere():
    made = keeper(router(preload=('m4',)))
    step = decide(made, report(held('m1'), on_disk=('m1',)))
    assert (step.kind, step.model) == (OrderKind.LOAD, 'm4')


def test_fetching_ahead_displaces_spare_models_only():
    made = keeper(router(preload=('m4',), evictable=('m2',)))
    account = report(held('m1'), held('m2'), on_disk=('m1', 'm2'))
    made.runner_view.record_report(account, NOW_MS - 700)
    step = decide(made, account)
    assert (step.kind, step.model) == (OrderKind.UNLOAD, 'm2')
    nothing_spare = keeper(router(preload=('m4',)))
    nothing_spare.runner_view.record_report(account, NOW_MS - 700)
    assert decide(nothing_spare, account) is None


def test_fetching_ahead_waits_until_demand_is_known():
    account = report(held('m1'), held('m2'), on_disk=('m1', 'm2'))
    state = router(preload=('m4',), evictable=('m2',), demand={'m1': 1.0})
    made = keeper(state)
    made.runner_view.record_report(account, NOW_MS - 700)
    assert decide(made, account) is None
    later_ms = NOW_MS + 9000
    made.runner_view.demand.record_state(state, later_ms)
    assert decide(made, account, later_ms).model == 'm2'


def test_an_unanswered_load_may_be_ordered_again():
    made = keeper(router(wish('m2')))
    account = report(held('m1'), sequence=0)
    step = decide(made, account)
    made.runner_view.record_unanswered(step, NOW_MS)
    assert decide(made, account, NOW_MS + 100).model == 'm2'


def test_fills_free_memory_with_what_is_in_demand():
    """A runner that started again holds nothing."""
    made = keeper(router(demand={'m1': 0.01, 'm2': 1.5, 'm3': 0.9}))
    step = decide(made, report())
    assert (step.kind, step.model) == (OrderKind.LOAD, 'm2')
    assert not step.is_from_store


def test_what_is_rarely_asked_for_is_not_loaded_without_a_wish():
    made = keeper(router(demand={'m1': 0.01}))
    assert decide(made, report()) is None


def test_tells_routers_when_the_runner_does_not_answer():
    made = keeper(router())
    made.runner_view.record_report(report(held('m1')), NOW_MS)
    assert not made.agent_state(NOW_MS).is_down
    made.runner_view.record_missed_report()
    made.runner_view.record_missed_report()
    assert made.agent_state(NOW_MS + 500).is_down
    made.runner_view.record_report(report(), NOW_MS + 900)
    assert not made.agent_state(NOW_MS + 900).is_down


def test_a_hot_model_does_not_make_way_for_a_slow_load():
    """Six seconds without it hurt more requests than the one that waits."""
    demand = {'m1': 3.0, 'm2': 3.0}
    made = keeper(router(wish('m4'), demand=demand))
    account = report(held('m1'), held('m2'), on_disk=('m1', 'm2'))
    made.runner_view.record_report(account, NOW_MS - 700)
    assert decide(made, account) is None
    assert made.agent_state(NOW_MS).load_rejections[0].model == 'm4'


def test_many_waiting_requests_outweigh_some_demand():
    demand = {'m1': 3.0, 'm2': 2.0}
    made = keeper(router(wish('m4', waiting=5), demand=demand))
    account = report(held('m1'), held('m2'))
    made.runner_view.record_report(account, NOW_MS - 700)
    assert decide(made, account).model == 'm2'


def test_a_replica_of_a_hot_model_displaces_what_is_asked_for_seldom():
    demand = {'m4': 5.0, 'm1': 2.0, 'm2': 0.2}
    state = router(preload=('m4',), demand=demand)
    made = keeper(state)
    account = report(held('m1'), held('m2'))
    made.runner_view.record_report(account, NOW_MS - 700)
    assert decide(made, account).model == 'm2'
    demand['m2'] = 2.0
    made = keeper(router(preload=('m4',), demand=demand))
    made.runner_view.record_report(account, NOW_MS - 700)
    assert decide(made, account) is None


def test_a_model_with_running_requests_is_kept_longer():
    """An unload waits for its runs and holds all other orders back."""
    demand = {'m1': 1.0, 'm2': 1.0}
    running = {'m1': 3, 'm2': 3}
    made = keeper(router(wish('m4'), demand=demand, running=running))
    account = report(held('m1'), held('m2'))
    made.runner_view.record_report(account, NOW_MS - 700)
    assert decide(made, account) is None
    idle = keeper(router(wish('m4'), demand=demand))
    idle.runner_view.record_report(account, NOW_MS - 700)
    assert decide(idle, account).kind is OrderKind.UNLOAD


def started_anew(*models, now_ms=NOW_MS):
    """A keeper whose runner was started anew while it held models."""
    made = keeper(router())
    made.runner_view.demand.record_state(
        msgspec.structs.replace(router(), runner_started_ms=9), now_ms
    )
    before = report(*(held(name) for name in models))
    made.runner_view.record_report(before, now_ms - 500)
    return made


def test_loads_again_what_was_held_before_a_start():
    """Right after hosts lost power nobody knows what is asked for."""
    made = started_anew('m1', 'm2')
    empty = report(sequence=0, started_ms=9)
    step = decide(made, empty)
    assert (step.kind, step.model) == (OrderKind.LOAD, 'm1')
    step = decide(made, report(held('m1'), sequence=1, started_ms=9))
    assert step.model == 'm2'


def test_requests_go_before_what_was_held():
    made = started_anew('m1', 'm2')
    asked = msgspec.structs.replace(router(wish('m3')), runner_started_ms=9)
    made.runner_view.demand.record_state(asked, NOW_MS)
    assert decide(made, report(sequence=0, started_ms=9)).model == 'm3'


def test_nothing_is_fetched_from_the_store_to_restore():
    made = started_anew('m1')
    empty = report(sequence=0, started_ms=9, on_disk=())
    assert decide(made, empty) is None


def test_an_agent_that_starts_with_its_runner_reads_what_it_held():
    made = keeper(router())
    made.runner_view.restoration.record_registered(('m3',), STARTED_MS - 1)
    assert decide(made, report(sequence=0)).model == 'm3'


def test_orders_a_runner_that_has_not_registered_but_said_who_it_is():
    made = started_anew('m1')
    made.runner_view.demand.record_state(router(), NOW_MS)
    empty = report(sequence=0, started_ms=11)
    assert decide(made, empty) is None
    made.runner_view.set_instance('i-2')
    assert decide(made, empty).model == 'm1'
    assert made.runner_view.instance == 'i-2'


def test_what_must_be_kept_makes_no_way_ahead_of_requests():
    demand = {'m4': 2.0, 'm1': 2.0}
    account = report(held('m1'), held('m2'), on_disk=('m4',))
    made = keeper(router(preload=('m4',), demand=demand))
    made.runner_view.record_report(account, NOW_MS - 700)
    assert decide(made, account).model == 'm2'
    told = msgspec.structs.replace(
        router(preload=('m4',), demand=demand), protected=('m2',)
    )
    kept = keeper(told)
    kept.runner_view.record_report(account, NOW_MS - 700)
    assert decide(kept, account) is None
