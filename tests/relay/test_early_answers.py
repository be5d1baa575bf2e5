"""Answers that come before the request is read, and what is none."""

import asyncio
import itertools

import pytest

from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from tests.relay.harness import KEY, RelayHarness
from tests.support.sockets import reset

UPLOAD_BYTES = (900_000, 1_000_000)
RESET_AFTER_MS = (0, 2, 30, 200)
READ_BYTES = (0, 1000, 300_000)
PLAIN_HEAD = b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: a1\r\n\r\n'
STREAM_HEAD = PLAIN_HEAD.replace(
    b'\r\n\r\n', b'\r\nContent-Type: text/event-stream\r\n\r\n'
)
EVENT = b'id: 1\ndata: x\n\n'
ANSWERS = {
    '/read/x': PLAIN_HEAD + b'part',
    '/book/x': PLAIN_HEAD + b'part',
    '/open/x': PLAIN_HEAD + b'part',
    '/once/x': STREAM_HEAD + EVENT,
    '/resume/x': STREAM_HEAD + EVENT,
}
ODD_STATUSES = (
    b'000',
    b'099',
    b'0200',
    b'1000',
    b'20',
    b'2000',
    b'-200',
    b'2x0',
    b'100',
    b'101',
)
PIECE_BYTES = 50_000
TIMEOUT_S = 4


class EarlyServer:
    """Answers before it has read the request, then resets the connection."""

    def __init__(self, answer, read_bytes, reset_after_ms):
        self._answer = answer
        self._read_bytes = read_bytes
        self._reset_after_ms = reset_after_ms

    async def start(self, harness):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        for service in ('app', 'other'):
            server = BackendServer(
                f'i-{service}',
                service,
                f'127.0.0.1:{port}',
                'z',
                8,
                started_ms=1,
            )
            harness.fleet.roster.put(server, boottime_ms())

    async def _serve(self, reader, writer):
        try:
            if self._read_bytes:
                await reader.readexactly(self._read_bytes)
            writer.write(self._answer)
            await asyncio.sleep(self._reset_after_ms / 1000)
            reset(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def request_head(path, upload_bytes, version, *headers):
    lines = ''.join(f'{line}\r\n' for line in headers)
    return (
        f'POST {path} HTTP/{version}\r\nHost: h\r\nAttempt-Id: a1\r\n'
        f'Authorization: Token {KEY}\r\n{lines}'
        f'Content-Length: {upload_bytes}\r\n\r\n'
    ).encode()


async def answer_to(harness, head, body, pause_s=0.0):
    """Upload a body; return the head of the answer, the rest and its end."""
    reader, writer = await harness.open_connection()
    writer.write(head)
    if b'100-continue' in head:
        async with asyncio.timeout(TIMEOUT_S):
            assert b' 100 ' in await reader.readuntil(b'\r\n\r\n')
    try:
        for start in range(0, len(body), PIECE_BYTES):
            writer.write(body[start : start + PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(pause_s)
    except ConnectionError:
        pass
    content = b''
    is_reset = False
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while part := await reader.read(65_536):
                content += part
                if is_framed_end(content):
                    break
    except ConnectionError:
        is_reset = True
    writer.transport.abort()
    head, _, rest = content.partition(b'\r\n\r\n')
    return head.lower(), rest, is_reset


def is_framed_end(content):
    head, end, rest = content.partition(b'\r\n\r\n')
    if not end:
        return False
    if b'chunked' in head.lower():
        return rest.endswith(b'0\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return len(rest) >= int(line.split(b':')[1])
    return False


def looks_complete(head, rest, is_reset):
    """Tell whether a caller takes an answer for a whole success."""
    if not head.startswith((b'http/1.1 200', b'http/1.0 200')):
        return False
    return is_framed_end(head + b'\r\n\r\n' + rest) or not (
        is_reset or b'chunked' in head or b'content-length' in head
    )


async def play(path, version, *headers, pause_s=0.0):
    """Return the cases in which a broken off answer looks complete."""
    wrong = []
    for upload_bytes, read_bytes, reset_after_ms in itertools.product(
        UPLOAD_BYTES, READ_BYTES, RESET_AFTER_MS
    ):
        harness = RelayHarness()
        server = EarlyServer(ANSWERS[path], read_bytes, reset_after_ms)
        await server.start(harness)
        await harness.http.listen('127.0.0.1:0')
        head = request_head(path, upload_bytes, version, *headers)
        answer = await answer_to(harness, head, bytes(upload_bytes), pause_s)
        if looks_complete(*answer):
            wrong.append((upload_bytes, read_bytes, reset_after_ms, answer[0]))
    return wrong


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('path', ANSWERS)
async def test_an_early_answer_that_is_reset_is_not_taken_for_complete(
    path, version
):
    assert not await play(path, version)


@pytest.mark.parametrize('path', ['/read/x', '/once/x'])
async def test_an_early_answer_to_a_caller_that_waits_for_100_is_not_complete(
    path,
):
    assert not await play(path, '1.1', 'Expect: 100-continue')


@pytest.mark.parametrize('path', ['/book/x', '/resume/x'])
async def test_an_early_answer_to_an_upload_in_progress_is_not_complete(path):
    assert not await play(path, '1.1', pause_s=0.002)


@pytest.mark.parametrize('status', ODD_STATUSES)
@pytest.mark.parametrize('path', ['/read/x', '/book/x', '/once/x', '/resume/x'])
async def test_what_has_no_status_is_no_answer(path, status):
    harness = RelayHarness()
    content = ANSWERS[path].replace(b' 200 ', b' %s ' % status)
    content = content.replace(b'\r\n\r\n', b'\r\nContent-Length: 4\r\n\r\n', 1)
    await EarlyServer(content, 20, 100).start(harness)
    await harness.http.listen('127.0.0.1:0')
    head, _, _ = await answer_to(harness, request_head(path, 0, '1.1'), b'')
    assert head.startswith((b'http/1.1 502', b'http/1.1 504'))
