"""The append queue: batches, lost answers, refusals, retries."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.log import (
    Appended,
    AppendRefused,
    AppendUnknown,
)
from lagoonflow.streams.append_queue import (
    AppendQueue,
    Idle,
    ReadTail,
    SendAppend,
    WaitUntil,
)
from tests.streams.memory_log import MemoryLog, record_text


@pytest.fixture
def queue():
    return AppendQueue(random.Random(1))


def test_pending_records_are_appended_together(queue):
    queue.submit('a', 'text-a')
    queue.submit('b', 'text-b')
    assert queue.next_action(0, 5) == SendAppend(('text-a', 'text-b'))
    stored = queue.on_append(0, Appended(7))
    assert [(found.record_id, found.offset) for found in stored] == [
        ('a', 7),
        ('b', 8),
    ]
    assert queue.next_action(0, 5) == Idle()


def test_a_large_batch_is_split(queue):
    for number in range(70):
        queue.submit(str(number), 'text')
    assert len(queue.next_action(0, 0).texts) == 64


def test_the_tail_is_read_after_a_lost_answer(queue):
    queue.submit('a', record_text('a'))
    queue.next_action(0, 5)
    queue.on_append(0, AppendUnknown('lost'))
    wait = queue.next_action(0, 9)
    assert isinstance(wait, WaitUntil)
    assert queue.next_action(wait.at_ms, 9) == ReadTail(5)


def test_withdraw_tells_whether_a_record_may_be_stored(queue):
    queue.submit('a', 'text')
    assert queue.withdraw('a')
    queue.submit('b', 'text')
    queue.next_action(0, 0)
    queue.on_append(0, AppendRefused('rate'))
    assert queue.withdraw('b')
    queue.submit('c', 'text')
    queue.next_action(10_000, 0)
    queue.on_append(10_000, AppendUnknown('lost'))
    assert not queue.withdraw('c')


def test_a_refusal_is_not_retried_before_its_time(queue):
    queue.submit('a', 'text')
    queue.next_action(0, 0)
    queue.on_append(0, AppendRefused('rate', 700))
    assert queue.next_action(699, 0) == WaitUntil(700)
    assert isinstance(queue.next_action(700, 0), SendAppend)


FAULTS = st.sampled_from(['none', 'lost', 'dropped', 'refused', 'tail lost'])


@given(st.lists(FAULTS, max_size=20), st.integers(1, 8), st.integers())
def test_each_record_is_stored_once_despite_faults(faults, count, seed):
    log = MemoryLog()
    queue = AppendQueue(random.Random(seed))
    stored = {}
    now_ms = 0
    for number in range(count):
        queue.submit(f'id-{number}', record_text(f'id-{number}'))
    for fault in [*faults, *['none'] * 20]:
        action = queue.next_action(now_ms, 0)
        found = ()
        match action:
            case WaitUntil(at_ms):
                now_ms = at_ms
            case SendAppend(texts):
                found = queue.on_append(now_ms, _append(log, fault, texts))
            case ReadTail() if fault == 'tail lost':
                found = queue.on_tail(now_ms, Unavailable('lost'))
            case ReadTail(offset):
                found = queue.on_tail(now_ms, log.get(offset, 3))
        stored |= {one.record_id: one.offset for one in found}
    assert len(log.records) == count
    assert len(stored) == count
    for record_id, offset in stored.items():
        assert f'"{record_id}"' in log.records[offset].value


def _append(log, fault, texts):
    match fault:
        case 'refused':
            return AppendRefused('rate')
        case 'dropped':
            return AppendUnknown('before')
    first = log.put(*texts)
    return AppendUnknown('after') if fault == 'lost' else Appended(first)
