"""A metadata store behind a link of a given rate, and readers of it."""

import asyncio
import base64
import contextlib
import json
import re
import struct
import time
from urllib.parse import parse_qs, urlsplit

from lagoonflow.declared.topic_follower import TopicFollower
from lagoonflow.declared.view import DeclaredView
from lagoonflow.platform.store import CONFIGURATION_TOPIC, StoreClient
from lagoonflow.wiring.platform_feeds import ConfigurationFeed
from lagoonflow.wiring.platform_topics import (
    CONFIGURATION_GATHER_MS,
    CONFIGURATION_WAIT_MS,
)

CHUNK_BYTES = 4096
PAUSE_BYTES = 32 * CHUNK_BYTES
# The store may send this much late, as its process was kept from running; the link
# makes up for it.
MAX_LATE_S = 0.25
PAGE_HEAD = struct.Struct('>QQ')
LENGTH = struct.Struct('>I')
KEY = b'config'
VERSION = re.compile(rb'{"version":(\d+)')


def mbit(count):
    """Return a link rate in bytes per s."""
    return count * 125_000


def configuration(version, route_count):
    """Return a configuration as an operator writes it; 243 bytes a route."""
    routes = [
        {
            'name': f'route-{version:06}-{number:06}',
            'host': f'host{number % 7}.example',
            'path_prefix': f'/prefix-{version:06}-{number:06}/',
            'type': 'idempotent',
            'timeout_ms': 10_000,
            'target_latency_ms': 800,
            'priority': 5,
            'service': 'portal-app',
            'attempts': 2,
            'public': False,
            'sticky': False,
            'resumable': False,
        }
        for number in range(route_count)
    ]
    services = [{'name': 'portal-app', 'max_conns': 96}]
    body = {'version': version, 'routes': routes, 'services': services}
    return json.dumps(body, separators=(',', ':')).encode()


class ThinLinkStore:
    """Answers reads of one topic; all answers share a rate.

    :ivar sent_bytes: bytes of answers that were sent.
    :ivar reads: number of requests.
    :ivar polled: set at each request.
    :ivar late_ms: each answer begins so much later.
    :ivar lost_answers: how many of the next answers with records are lost.
    :ivar is_down: no request gets an answer.
    :ivar pause_s: each answer pauses for so long after ``PAUSE_BYTES``.
    :ivar stalls: how many of the next answers with records stop half way.
    """

    def __init__(
        self, bytes_per_s, *, cuts_pages=True, chunk_bytes=CHUNK_BYTES
    ):
        self._chunk_bytes = chunk_bytes
        self.sent_bytes = 0
        self.reads = 0
        self.polled = asyncio.Event()
        self.late_ms = 0
        self.lost_answers = 0
        self.stalls = 0
        self.pause_s = 0
        self.is_down = False
        self.address = ''
        self._bytes_per_s = bytes_per_s
        self._cuts_pages = cuts_pages
        self._records = []
        self._changed = asyncio.Event()
        self._link = asyncio.Lock()
        self._link_free_at_s = 0
        self._server = None
        self._writers = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=256
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def write(self, value):
        """Append a record of the only key."""
        self._records.append(bytes([len(KEY)]) + KEY + value)
        self._changed.set()
        self._changed = asyncio.Event()

    def break_connections(self):
        """Let the connections that are open now go silent."""
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.reads += 1
                self.polled.set()
                target = urlsplit(head.split(b' ', 2)[1].decode())
                query = {
                    name: values[0]
                    for name, values in parse_qs(target.query).items()
                }
                is_newest = target.path == '/log-newest'
                body = self._newest() if is_newest else await self._page(query)
                await asyncio.sleep(self.late_ms / 1000)
                is_silent = self.is_down or writer not in self._writers
                if is_silent or self._is_lost(body):
                    await reader.read()
                    break
                await self._send(writer, body)
        self._writers.discard(writer)
        writer.transport.abort()

    def _is_lost(self, body):
        if not self.lost_answers or len(body) == PAGE_HEAD.size:
            return False
        self.lost_answers -= 1
        return True

    def _newest(self):
        items = [
            {
                'key': KEY.decode(),
                'value': base64.b64encode(raw[1 + len(KEY) :]).decode(),
                'offset': len(self._records) - 1,
            }
            for raw in self._records[-1:]
        ]
        body = {'items': items, 'has_more': False}
        return json.dumps(body | {'end_offset': len(self._records)}).encode()

    async def _page(self, query):
        offset = int(query['from'])
        if offset >= len(self._records):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query['wait_ms']) / 1000):
                    await self._changed.wait()
        framed = b''.join(
            LENGTH.pack(len(raw)) + raw for raw in self._records[offset:]
        )
        if self._cuts_pages:
            framed = framed[: int(query['max_size'])]
        return PAGE_HEAD.pack(len(self._records), 0) + framed

    async def _send(self, writer, body):
        answer = (
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body
        )
        chunks = [
            answer[start : start + self._chunk_bytes]
            for start in range(0, len(answer), self._chunk_bytes)
        ]
        if self.stalls and len(chunks) > 2:
            self.stalls -= 1
            self._writers.discard(writer)
            chunks = chunks[: len(chunks) // 2]
        begins_at_s = time.monotonic()
        for number, chunk in enumerate(chunks, 1):
            if number * CHUNK_BYTES % PAUSE_BYTES == 0 and self.pause_s:
                await asyncio.sleep(self.pause_s)
                begins_at_s = time.monotonic()
            async with self._link:
                if writer.transport.is_closing():
                    return
                begins_at_s = max(
                    begins_at_s,
                    self._link_free_at_s,
                    time.monotonic() - MAX_LATE_S,
                )
                begins_at_s += len(chunk) / self._bytes_per_s
                self._link_free_at_s = begins_at_s
                late_s = time.monotonic() - begins_at_s
                if late_s < 0:
                    await asyncio.sleep(-late_s)
                self.sent_bytes += len(chunk)
                writer.write(chunk)
                await writer.drain()


class Reader:
    """A router's reader of the configuration.

    :param decodes: whether configurations are decoded; many readers that share
        a process would wait for each other's processor time.
    :ivar in_force_at_s: time at which each version was put in force.
    :ivar proof_age_ms: greatest age of the confirmation since the first one.
    """

    def __init__(self, address, *, decodes=True):
        self.in_force_at_s = {}
        self.proof_age_ms = 0
        self.view = DeclaredView()
        self._feed = ConfigurationFeed(self.view, self._note_version)
        self._follower = TopicFollower(
            StoreClient(address),
            CONFIGURATION_TOPIC,
            CONFIGURATION_WAIT_MS,
            CONFIGURATION_GATHER_MS,
            self._on_page if decodes else self._note_page,
            self._feed.on_failure,
            is_urgent=True,
        )
        self._task = asyncio.create_task(self._follower.run())

    async def stop(self):
        """End the reader."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def wait_for(self, version, timeout_s):
        """Return whether a version is in force within a time."""
        until_s = time.monotonic() + timeout_s
        while version not in self.in_force_at_s:
            if time.monotonic() > until_s:
                return False
            await asyncio.sleep(0.01)
        return True

    def _note_version(self):
        self.in_force_at_s[self.view.version] = time.monotonic()

    def _note_page(self, page, _is_whole, _current_at_ms):
        for record in page.records:
            version = int(VERSION.match(record.value)[1])
            self.in_force_at_s[version] = time.monotonic()

    def _on_page(self, page, is_whole, current_at_ms):
        now_ms = time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6
        if self.view.confirmed_at_ms > 0:
            age_ms = self.view.age_ms(now_ms)
            self.proof_age_ms = max(self.proof_age_ms, age_ms)
        self._feed.on_page(page, is_whole, current_at_ms)
