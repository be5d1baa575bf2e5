"""Order and fairness of the run queue."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.calls.messages import AttemptId, AttemptRequest
from lagoonflow.placement.messages import Target
from lagoonflow.runners.queue import QUANTUM_TOKENS, QueueEntry, RunQueue
from lagoonflow.streams.messages import Versions


def entry(name, organisation='org', deadline_ms=1_000, cost=100, priority=0):
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


def drain(queue, is_eligible=lambda _: True):
    order = []
    while (popped := queue.pop(is_eligible)) is not None:
        order.append(popped)
    return order


def names(entries):
    return [one.request.attempt.request_id for one in entries]


def test_priority_then_deadline():
    queue = RunQueue()
    queue.add(entry('late', deadline_ms=900))
    queue.add(entry('soon', deadline_ms=100))
    queue.add(entry('first', deadline_ms=999, priority=-1))
    assert names(drain(queue)) == ['first', 'soon', 'late']


def test_ineligible_entries_are_passed_over():
    queue = RunQueue()
    queue.add(entry('cold', deadline_ms=1))
    queue.add(entry('warm'))
    popped = queue.pop(lambda one: one.deadline_ms > 1)
    assert names([popped]) == ['warm']
    assert len(queue) == 1


@given(
    st.lists(st.integers(1, 2_000), min_size=1, max_size=40),
    st.lists(st.integers(1, 2_000), min_size=1, max_size=10),
)
def test_flood_is_served_no_more_than_its_share(flood, others):
    """While both wait, services differ by 2 quanta and 2 largest costs."""
    queue = RunQueue()
    for number, cost in enumerate(flood):
        queue.add(entry(f'f{number}', 'flood', cost=cost))
    for number, cost in enumerate(others):
        queue.add(entry(f'o{number}', 'other', cost=cost))
    served = {'flood': 0, 'other': 0}
    left = {'flood': len(flood), 'other': len(others)}
    bound = 2 * (QUANTUM_TOKENS + max(*flood, *others))
    for one in drain(queue):
        if not min(left.values()):
            break
        organisation = one.request.organisation
        served[organisation] += one.cost_tokens
        left[organisation] -= 1
        assert abs(served['flood'] - served['other']) <= bound


def test_predicted_work_ahead_bounds_a_flood():
    queue = RunQueue()
    for number in range(100):
        queue.add(entry(f'f{number}', 'flood'))
    quiet = entry('q', 'quiet')
    assert queue.work_ahead_ms(quiet, lambda _: True) == 100
    loud = entry('l', 'flood')
    assert queue.work_ahead_ms(loud, lambda _: True) == 10_000


@given(
    st.lists(
        st.tuples(
            st.sampled_from('abc'), st.integers(0, 3_000), st.integers(0, 2)
        ),
        max_size=30,
    )
)
def test_each_entry_comes_out_once(items):
    queue = RunQueue()
    for number, (organisation, cost, priority) in enumerate(items):
        queue.add(
            entry(str(number), organisation, cost=cost, priority=priority)
        )
    order = drain(queue)
    assert sorted(map(int, names(order))) == list(range(len(items)))
    priorities = [one.request.priority for one in order]
    assert priorities == sorted(priorities)
    assert not len(queue)
