"""What agents do while some routers don't know yet whether models are scarce."""

import dataclasses

import msgspec

from lagoonflow.waking.messages import OrderKind
from lagoonflow.waking.scarcity import SETTLED_MS, ScarcityDetector
from tests.waking.builders import (
    NOW_MS,
    held,
    load_request,
    make_controller,
    report,
    router_state,
    spec,
)

# 177 models of the same size, of which a runner holds three.
ENGINE = dataclasses.replace(
    spec(),
    models={
        f'm{number}': dataclasses.replace(
            spec().models['m1'], name=f'm{number}', weights_mb=71_000
        )
        for number in range(177)
    },
    weights_mb=220_000,
)
RUNNERS = 24


def scarce(state, store_turn='', store_only=()):
    return msgspec.structs.replace(
        state, is_scarce=True, store_turn=store_turn, store_only=store_only
    )


def test_a_restarted_router_does_not_end_the_turns_at_the_store():
    """Its first states say that models aren't scarce, as it can't tell yet."""
    request = load_request('m4', waiting=6)
    controller = make_controller(
        scarce(router_state(name='r1', may_use_store=False)),
        now_ms=NOW_MS - 10,
    )
    restarted = router_state(request, name='r2', may_use_store=True)
    controller.runner_view.demand.record_state(restarted, NOW_MS)
    runner_report = report(held('m1'), on_disk=('m1',))
    controller.runner_view.record_report(runner_report, NOW_MS - 700)
    controller.runner_view.record_report(runner_report, NOW_MS)
    assert controller.next_order(NOW_MS) is None


def test_a_restarted_router_does_not_lift_the_protection_of_last_copies():
    demand = {'m1': 0.05, 'm2': 0.2}
    controller = make_controller(
        scarce(
            router_state(load_request('m3'), name='r1', demand=demand),
            store_only=('m1',),
        ),
        now_ms=NOW_MS - 10,
    )
    restarted = router_state(name='r2')
    controller.runner_view.demand.record_state(restarted, NOW_MS)
    runner_report = report(held('m1'), held('m2'), on_disk=('m2', 'm3'))
    controller.runner_view.record_report(runner_report, NOW_MS - 700)
    controller.runner_view.record_report(runner_report, NOW_MS)
    order = controller.next_order(NOW_MS)
    assert (order.kind, order.model) == (OrderKind.UNLOAD, 'm2')


def test_routers_that_know_no_turns_do_not_outvote_those_that_do():
    states = [
        scarce(router_state(name=f'r{number}'), store_turn='m4')
        for number in range(3)
    ]
    states += [router_state(name=f'new-{number}') for number in range(4)]
    controller = make_controller(*states)
    runner_report = report(on_disk=())
    controller.runner_view.record_report(runner_report, NOW_MS)
    order = controller.next_order(NOW_MS)
    assert (order.model, order.is_from_store) == ('m4', True)


def test_replaced_runners_do_not_end_scarcity():
    """The old entries stay listed for a while beside the new ones."""
    detector = ScarcityDetector()
    detector.observe_runners('llm', RUNNERS, 0)
    assert detector.is_scarce('llm', ENGINE, SETTLED_MS)
    for listed in (RUNNERS + 1, RUNNERS + 4, RUNNERS + 6, RUNNERS):
        now_ms = SETTLED_MS + 1000 * listed
        detector.observe_runners('llm', listed, now_ms)
        assert detector.is_scarce('llm', ENGINE, now_ms)


def test_a_router_that_starts_beside_a_running_fleet_knows_its_size():
    detector = ScarcityDetector()
    detector.observe_runners('llm', RUNNERS, 0, median_age_ms=60_000)
    assert detector.is_scarce('llm', ENGINE, 0)


def test_the_first_runners_of_a_starting_fleet_do_not_make_models_scarce():
    detector = ScarcityDetector()
    for now_ms in range(0, 4000, 1000):
        detector.observe_runners(
            'llm', 1 + now_ms // 1000, now_ms, median_age_ms=3000
        )
        assert not detector.is_scarce('llm', ENGINE, now_ms)


def test_a_grown_fleet_ends_scarcity():
    detector = ScarcityDetector()
    detector.observe_runners('llm', RUNNERS, 0)
    detector.observe_runners('llm', 2 * RUNNERS, SETTLED_MS)
    assert not detector.is_scarce('llm', ENGINE, 2 * SETTLED_MS)
