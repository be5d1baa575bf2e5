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
from starlette.types import ASGIApp, Message, Receive, Scope, Send

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


class RestoreBody(msgspec.Struct, frozen=True):
    """Records that are written again as the copy is restored."""

    rewritten: list[PutBody] = []


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
        self.wake_readers()
        return offset

    def wake_readers(self) -> None:
        """Answer the reads that wait for records."""
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, earlier: 'Topic') -> None:
        """Go back to an earlier state."""
        self.records = list(earlier.records)
        self.first_offset = earlier.first_offset
        self.newest = dict(earlier.newest)
        self.wake_readers()

    def copied(self) -> 'Topic':
        """Return the present state, for :meth:`restore`."""
        topic = Topic()
        topic.restore(self)
        return topic

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
    """Keeps the topics and answers requests.

    :ivar era: what the header ``Store-Era`` of all answers states.
    """

    def __init__(self) -> None:
        self.era = 1
        self._topics: dict[str, Topic] = {}
        self._copy: dict[str, Topic] = {}
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
            Route('/test/copy', self._copy_topics, methods=['POST']),
            Route('/test/restore', self._restore, methods=['POST']),
        ]
        app = build_app(routes, self._switch, lambda: dict(self._counts))
        return _EraHeader(app, self)

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
        if not topic.first_offset <= offset <= topic.end_offset:
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
        return reply({'offset': self._write(body)})

    def _write(self, body: PutBody) -> int:
        key = body.key.encode()
        value = b''
        if body.value is not None:
            value = msgspec.json.encode(body.value)
        topic = self._topics.setdefault(body.topic, Topic())
        return topic.append(bytes([len(key)]) + key + value)

    async def _copy_topics(self, request: Request) -> Response:
        self._copy = {
            name: topic.copied() for name, topic in self._topics.items()
        }
        return reply({})

    async def _restore(self, request: Request) -> Response:
        """Go back to the copy; offsets are given out again in a new era."""
        body = await read_body(request, RestoreBody)
        self.era += 1
        for name, topic in self._topics.items():
            topic.restore(self._copy.get(name, Topic()))
        for record in body.rewritten:
            self._write(record)
        return reply({'era': self.era})

    async def _compact(self, request: Request) -> Response:
        for topic in self._topics.values():
            topic.compact()
        return reply({})


class _EraHeader:
    """ASGI middleware that states the era of the store in each answer."""

    def __init__(self, app: ASGIApp, store: MetadataStore) -> None:
        self._app = app
        self._store = store

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one ASGI connection."""

        async def send_with_era(message: Message) -> None:
            if message['type'] == 'http.response.start':
                era = str(self._store.era).encode()
                headers = [*message['headers'], (b'store-era', era)]
                message = {**message, 'headers': headers}
            await send(message)

        # The transport of the connection is reached through the sender.
        send_with_era.__self__ = send.__self__  # type: ignore
        await self._app(scope, receive, send_with_era)


def main() -> None:
    """Read the flags and serve."""
    flags = build_parser('Metadata store.').parse_args()
    serve(MetadataStore().app(), flags.host, flags.port)


if __name__ == '__main__':
    main()
