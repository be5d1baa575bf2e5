"""Stand-in for the metadata store: keyed topics with long polling."""

import asyncio
import base64
import struct
from collections import Counter
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp

from standins.faults import Faults, FaultSwitch
from standins.lagged import MS_PER_S
from standins.middleware import close_without_answer, reply
from standins.serving import build_app, build_parser, read_body, serve

GONE = 410
PRECONDITION_FAILED = 412
_PAGE_HEADER = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class StoreFaults(Faults, frozen=True, kw_only=True):
    """Faults of the store.

    :param lose_answers: how many of the next appends take effect without an
        answer.
    """

    lose_answers: int = 0


class PutBody(msgspec.Struct, frozen=True):
    """A record written by a test; without a value it removes the key."""

    topic: str
    key: str
    value: Any = None


class Topic:
    """The records of one keyed topic.

    :ivar first_offset: offset of the oldest record that is kept.
    :ivar newest: offset and value of the newest record by key.
    :ivar changed: set, and replaced by a new event, at each append.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first_offset = 0
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    @property
    def end_offset(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, record: bytes) -> int:
        """Append a record and return its offset.

        :param record: length of the key in one byte, the key, then the value; no
            value removes the key.
        """
        offset = self.end_offset
        self.records.append(record)
        key_end = 1 + record[0]
        key = record[1:key_end].decode()
        if len(record) > key_end:
            self.newest[key] = (offset, record[key_end:])
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def compact(self) -> None:
        """Drop all records; the newest value of each key stays readable."""
        self.first_offset = self.end_offset
        self.records.clear()

    def page(self, offset: int) -> bytes:
        """Return the records from an offset on, each after its length.

        The page starts with the end offset and the first offset of the topic.
        """
        records = self.records[offset - self.first_offset :]
        framed = [_LENGTH.pack(len(record)) + record for record in records]
        header = _PAGE_HEADER.pack(self.end_offset, self.first_offset)
        return header + b''.join(framed)


class MetadataStore:
    """Keeps the topics and answers requests."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._switch = FaultSwitch(StoreFaults())
        self._counts: Counter[str] = Counter()

    def app(self) -> ASGIApp:
        """Return the ASGI application."""
        routes = [
            Route('/log-newest', self._newest, methods=['GET']),
            Route('/log-read', self._read, methods=['GET']),
            Route('/log-append', self._append, methods=['POST']),
            Route('/test/put', self._put, methods=['POST']),
            Route('/test/compact', self._compact, methods=['POST']),
        ]
        return build_app(routes, self._switch, lambda: dict(self._counts))

    def _topic(self, request: Request) -> Topic:
        name = request.query_params['topic']
        return self._topics.setdefault(name, Topic())

    async def _newest(self, request: Request) -> Response:
        self._counts['newest'] += 1
        topic = self._topic(request)
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in sorted(topic.newest.items())
        ]
        return reply(
            {
                'items': items,
                'has_more': False,
                'end_offset': topic.end_offset,
            },
        )

    async def _read(self, request: Request) -> Response:
        self._counts['read'] += 1
        topic = self._topic(request)
        offset = int(request.query_params['from'])
        wait_ms = int(request.query_params.get('wait_ms', 0))
        if offset >= topic.end_offset and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / MS_PER_S):
                    await topic.changed.wait()
            except TimeoutError:
                self._counts['empty'] += 1
        if offset < topic.first_offset:
            return reply({'first_offset': topic.first_offset}, GONE)
        return Response(topic.page(offset))

    async def _append(self, request: Request) -> Response:
        body = await request.body()
        length = _LENGTH.unpack_from(body)[0]
        topic = self._topic(request)
        offset = topic.append(body[_LENGTH.size : _LENGTH.size + length])
        if self._switch.use_one('lose_answers'):
            return await close_without_answer(request)
        return reply({'offset': offset, 'end_offset': topic.end_offset})

    async def _put(self, request: Request) -> Response:
        body = await read_body(request, PutBody)
        key = body.key.encode()
        value = b''
        if body.value is not None:
            value = msgspec.json.encode(body.value)
        topic = self._topics.setdefault(body.topic, Topic())
        offset = topic.append(bytes([len(key)]) + key + value)
        return reply({'offset': offset})

    async def _compact(self, request: Request) -> Response:
        for topic in self._topics.values():
            topic.compact()
        return reply({})


def main() -> None:
    """Read the flags and serve."""
    flags = build_parser('Metadata store.').parse_args()
    serve(MetadataStore().app(), flags.host, flags.port)


if __name__ == '__main__':
    main()
