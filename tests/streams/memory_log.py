"""An in-memory log service that simulates faults."""

import asyncio
import json

from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.log import (
    Appended,
    AppendRefused,
    AppendUnknown,
    Batch,
    Expired,
    Record,
)


class MemoryLog:
    """A log service with one stream.

    :ivar is_down: whether all requests fail.
    :ivar lose_answers: number of next appends that are stored, but whose
        answers are lost.
    :ivar drop_appends: number of next appends that are not stored, but may
        have been as far as the client knows.
    :ivar refusals: number of next appends that are refused.
    :ivar max_records: reads of more records fail.
    :ivar limits: record limits of the reads so far.
    """

    def __init__(self):
        self.records = []
        self.head = 0
        self.append_count = 0
        self.is_down = False
        self.lose_answers = 0
        self.drop_appends = 0
        self.refusals = 0
        self.max_records = 1000
        self.limits = []
        self._changed = asyncio.Event()

    @property
    def earliest(self):
        return self.records[0].offset if self.records else self.head

    def put(self, *texts):
        first = self.head
        for text in texts:
            self.records.append(Record(self.head, text, 0))
            self.head += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return first

    def expire_to(self, offset):
        self.records = [rec for rec in self.records if rec.offset >= offset]

    def get(self, offset, limit=1000):
        if offset < self.earliest:
            return Expired(self.earliest, self.head)
        found = [rec for rec in self.records if rec.offset >= offset]
        return Batch(tuple(found[:limit]), self.earliest, self.head)

    async def append(self, stream, texts):
        await asyncio.sleep(0)
        self.append_count += 1
        if self.is_down:
            return AppendRefused('down')
        if self.refusals:
            self.refusals -= 1
            return AppendRefused('rate', 1)
        if self.drop_appends:
            self.drop_appends -= 1
            return AppendUnknown('connection closed before')
        first = self.put(*texts)
        if self.lose_answers:
            self.lose_answers -= 1
            return AppendUnknown('connection closed after')
        return Appended(first)

    async def read(self, stream, offset, wait_ms, limit=1000):
        await asyncio.sleep(0)
        if self.is_down:
            return Unavailable('down')
        self.limits.append(limit)
        if limit > self.max_records:
            return Unavailable('the answer is too long')
        if offset >= self.head and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return self.get(offset, limit)


def record_text(record_id, body='x', kind='item'):
    return json.dumps({'id': record_id, 'kind': kind, 'body': body})
