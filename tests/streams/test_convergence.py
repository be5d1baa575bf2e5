"""All processes converge on the same state despite repeats, gaps and faults."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonflow.clients.messages.log import Batch, Expired
from lagoonflow.streams.messages import PullRequest, Stream, Versions
from lagoonflow.streams.stream_reader import StreamReader
from tests.streams.list_fold import ListFold
from tests.streams.memory_log import MemoryLog, record_text

PROCESS_COUNT = 3
STEPS = ('put', 'repeat', 'poison', 'read', 'checkpoint', 'pull', 'restart')


class Fleet:
    """Several processes that share a log; random steps drive them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.log = MemoryLog()
        self.readers = [StreamReader(ListFold()) for _ in range(PROCESS_COUNT)]
        self.put_count = 0
        self.has_gap = False

    def step(self, name):
        reader = self.rng.choice(self.readers)
        before = list(reader.fold.items)
        getattr(self, name)(reader)
        if name != 'restart':
            assert self._keeps_items(before, reader.fold.items)

    def _keeps_items(self, before, after):
        if self.has_gap:
            # Older items that only other processes had may be inserted.
            rest = iter(after)
            return all(item in rest for item in before)
        return after[: len(before)] == before

    def put(self, reader):
        self.put_count += 1
        text = record_text(f'id-{self.put_count}', str(self.put_count))
        self.log.put(text)

    def repeat(self, reader):
        if self.log.records:
            self.log.put(self.rng.choice(self.log.records).value)

    def poison(self, reader):
        self.log.put(self.rng.choice(['{', '{"id": "p"}', '']))

    def checkpoint(self, reader):
        if not reader.is_waiting_for_checkpoint and reader.fold.next_offset:
            self.log.put(reader.fold.checkpoint())

    def pull(self, reader):
        peer = self.rng.choice(self.readers)
        request = PullRequest(
            Stream.RELEASES, reader.fold.next_offset, Versions()
        )
        reader.apply_reply(peer.serve_pull(request, Versions()))

    def restart(self, reader):
        self.readers.remove(reader)
        self.readers.append(StreamReader(ListFold()))

    def bridge(self, reader):
        if reader.is_waiting_for_checkpoint and reader.is_at_head:
            reader.skip_gap()

    def read(self, reader, limit=None):
        limit = limit or self.rng.randint(1, 4)
        match self.log.get(reader.next_read(), limit):
            case Expired() as expired:
                reader.on_expired(expired)
            case Batch() as batch:
                reader.on_batch(batch)

    def expire(self, newest):
        if self.log.records:
            self.log.expire_to(self.rng.randint(self.log.earliest, newest))

    def expire_covered_by_checkpoints(self):
        """Expire only records that all checkpoints in use already cover."""
        safe = [
            reader.fold.last_checkpoint_offset
            for reader in self.readers
            if not reader.is_waiting_for_checkpoint
        ]
        if safe and min(safe) > 0:
            self.expire(min(safe))

    def converge(self):
        for _ in range(3):
            for reader in self.readers:
                while not (reader.is_at_head and self._is_read(reader)):
                    self.read(reader, 100)
                if reader.is_waiting_for_checkpoint:
                    reader.skip_gap()
                    self.read(reader, 100)
                self.checkpoint(reader)
        for reader in self.readers:
            self.read(reader, 100)
            self.read(reader, 100)

    def _is_read(self, reader):
        return reader.next_read() >= self.log.head

    def states(self):
        return {reader.fold.checkpoint() for reader in self.readers}


@given(st.lists(st.sampled_from(STEPS), max_size=60), st.integers())
def test_all_processes_agree(steps, seed):
    fleet = Fleet(seed)
    for step in steps:
        fleet.step(step)
    fleet.converge()
    assert len(fleet.states()) == 1
    items = fleet.readers[0].fold.items
    assert items == [str(n + 1) for n in range(fleet.put_count)]


@settings(max_examples=200)
@given(
    st.lists(
        st.sampled_from((*STEPS, 'expire_safely', 'read', 'read')),
        max_size=80,
    ),
    st.integers(),
)
def test_no_record_is_lost_while_checkpoints_precede_expiry(steps, seed):
    fleet = Fleet(seed)
    for step in steps:
        if step == 'expire_safely':
            fleet.expire_covered_by_checkpoints()
        else:
            fleet.step(step)
    fleet.converge()
    assert len(fleet.states()) == 1
    items = fleet.readers[0].fold.items
    assert items == [str(n + 1) for n in range(fleet.put_count)]


@settings(max_examples=300)
@given(
    st.lists(st.sampled_from(STEPS), min_size=1, max_size=40),
    st.lists(st.sampled_from((*STEPS[:-1], 'bridge', 'read')), max_size=30),
    st.integers(),
)
def test_all_processes_agree_after_all_records_expired(before, after, seed):
    fleet = Fleet(seed)
    for step in before:
        fleet.step(step)
    fleet.log.expire_to(fleet.log.head)
    fleet.has_gap = True
    for step in after:
        fleet.step(step)
    longest = max(len(reader.fold.items) for reader in fleet.readers)
    fleet.converge()
    live = [
        reader
        for reader in fleet.readers
        if not reader.is_waiting_for_checkpoint
    ]
    assert len({reader.fold.checkpoint() for reader in live}) <= 1
    assert all(len(reader.fold.items) >= longest for reader in live)
