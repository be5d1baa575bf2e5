"""Order of the run queue and its fairness to organisations."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.calls.messages import AttemptId, AttemptRequest
from lagoonflow.placement.messages import Target
from lagoonflow.runners.queue import QUANTUM_TOKENS, QueueEntry, RunQueue
from lagoonflow.streams.messages import Versions


def make_entry(
    name, organisation='org', deadline_ms=1_000, cost=100, priority=0
):
    request = AttemptRequest(
        AttemptId(name, 1),
        'router',
        organisation,
        'key',
        deadline_ms,
        Versions(),
        priority=priority,
    )
    return QueueEntry(request, Target('a'), 0, deadline_ms, cost, float(cost))


def pop_all(queue, is_eligible=lambda _: True):
    order = []
    while (popped := queue.pop(is_eligible)) is not None:
        order.append(popped)
    return order


def request_ids(entries):
    return [one.request.attempt.request_id for one in entries]


def test_priority_then_deadline():
    queue = RunQueue()
    queue.add(make_entry('late', deadline_ms=900))
    queue.add(make_entry('soon', deadline_ms=100))
    queue.add(make_entry('first', deadline_ms=999, priority=-1))
    assert request_ids(pop_all(queue)) == ['first', 'soon', 'late']


def test_ineligible_entries_are_passed_over():
    queue = RunQueue()
    queue.add(make_entry('cold', deadline_ms=1))
    queue.add(make_entry('warm'))
    popped = queue.pop(lambda one: one.deadline_ms > 1)
    assert request_ids([popped]) == ['warm']
    assert len(queue) == 1


@given(
    st.lists(st.integers(1, 2_000), min_size=1, max_size=40),
    st.lists(st.integers(1, 2_000), min_size=1, max_size=10),
)
def test_flood_is_served_no_more_than_its_share(flood, others):
    """While both have entries, their tokens differ by a bounded amount.

    The bound is 2 quanta and 2 times the largest cost.
    """
    queue = RunQueue()
    for number, cost in enumerate(flood):
        queue.add(make_entry(f'f{number}', 'flood', cost=cost))
    for number, cost in enumerate(others):
        queue.add(make_entry(f'o{number}', 'other', cost=cost))
    served = {'flood': 0, 'other': 0}
    left = {'flood': len(flood), 'other': len(others)}
    bound = 2 * (QUANTUM_TOKENS + max(*flood, *others))
    for one in pop_all(queue):
        if not min(left.values()):
            break
        organisation = one.request.organisation
        served[organisation] += one.cost_tokens
        left[organisation] -= 1
        assert abs(served['flood'] - served['other']) <= bound


def test_predicted_work_ahead_bounds_a_flood():
    queue = RunQueue()
    for number in range(100):
        queue.add(make_entry(f'f{number}', 'flood'))
    quiet = make_entry('q', 'quiet')
    assert queue.work_ahead_ms(quiet, lambda _: True) == 100
    flooding = make_entry('l', 'flood')
    assert queue.work_ahead_ms(flooding, lambda _: True) == 10_000


@given(
    st.lists(
        st.tuples(
            st.sampled_from('abc'), st.integers(0, 3_000), st.integers(0, 2)
        ),
        max_size=30,
    )
)
def test_each_entry_is_popped_once(items):
    queue = RunQueue()
    for number, (organisation, cost, priority) in enumerate(items):
        queue.add(
            make_entry(str(number), organisation, cost=cost, priority=priority)
        )
    order = pop_all(queue)
    assert sorted(map(int, request_ids(order))) == list(range(len(items)))
    priorities = [one.request.priority for one in order]
    assert priorities == sorted(priorities)
    assert not len(queue)
