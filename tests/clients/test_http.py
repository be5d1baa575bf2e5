"""The HTTP client never mixes up answers, and leaves no socket open."""

import asyncio

import pytest

from lagoonflow.clients.exchange import HttpAnswer, HttpFailure, HttpRequest
from lagoonflow.clients.http import HttpClient

ANSWER_DELAY_S = 0.3


class EchoServer:
    """Answers with the requested path, and counts open connections."""

    def __init__(self):
        self.open_connections = 0
        self.heads = []

    async def handle(self, reader, writer):
        self.open_connections += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.heads.append(head)
                path = head.split()[1]
                if path.startswith(b'/never'):
                    await reader.read()
                    return
                await self.answer(path, writer)
        finally:
            self.open_connections -= 1

    async def answer(self, path, writer):
        if path.startswith(b'/late'):
            await asyncio.sleep(ANSWER_DELAY_S)
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n' % len(path))
        writer.write(b'\r\n' + path)
        await writer.drain()


def get(path, timeout_ms=2000):
    return HttpRequest('GET', path, timeout_ms=timeout_ms)


async def wait_until_closed(server):
    for _ in range(200):
        if not server.open_connections:
            return
        await asyncio.sleep(0.01)


async def test_late_answer_is_not_given_to_the_next_request(serve):
    """A reused connection would give it to the next request."""
    server = EchoServer()
    async with serve(server.handle) as address:
        client = HttpClient(address, max_connections=1)
        assert (await client.call(get('/first'))).body == b'/first'
        failure = await client.call(get('/late', timeout_ms=100))
        assert failure == HttpFailure('no answer in time', True, True)
        await asyncio.sleep(ANSWER_DELAY_S)
        assert (await client.call(get('/second'))).body == b'/second'


async def test_cancelled_call_closes_its_connection(serve):
    server = EchoServer()
    async with serve(server.handle) as address:
        client = HttpClient(address, max_connections=1)
        await client.call(get('/first'))
        call_task = asyncio.create_task(client.call(get('/never')))
        await asyncio.sleep(0.1)
        assert server.open_connections == 1
        call_task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call_task
        await wait_until_closed(server)
        assert server.open_connections == 0
        assert (await client.call(get('/next'))).body == b'/next'


async def test_no_connection_stays_open_after_many_calls(serve):
    server = EchoServer()
    async with serve(server.handle) as address:
        client = HttpClient(address, max_connections=8)
        paths = [f'/{number}' for number in range(64)]
        answers = await asyncio.gather(
            *(client.call(get(path)) for path in paths)
        )
        assert [answer.body.decode() for answer in answers] == paths
        await wait_until_closed(server)
        assert server.open_connections == 0


async def test_cancellations_neither_leak_connections_nor_mix_answers(serve):
    server = EchoServer()
    async with serve(server.handle) as address:
        client = HttpClient(address, max_connections=4)

        async def call(number):
            path = f'/late/{number}' if number % 3 else f'/{number}'
            timeout_ms = ANSWER_DELAY_S * 1000 + (number % 7 - 3) * 2
            return path, await client.call(get(path, timeout_ms))

        for _ in range(4):
            tasks = [asyncio.create_task(call(n)) for n in range(12)]
            await asyncio.sleep(ANSWER_DELAY_S / 3)
            tasks[1].cancel()
            tasks[2].cancel()
            done = await asyncio.gather(*tasks, return_exceptions=True)
            for outcome in done:
                if isinstance(outcome, asyncio.CancelledError):
                    continue
                path, answer = outcome
                assert isinstance(answer, (HttpAnswer, HttpFailure))
                if isinstance(answer, HttpAnswer):
                    assert answer.body.decode() == path
        await wait_until_closed(server)
        assert server.open_connections == 0
        assert (await client.call(get('/after'))).body == b'/after'


async def test_request_on_a_refused_connection_was_not_sent(serve):
    async with serve(EchoServer().handle) as address:
        pass
    failure = await HttpClient(address).call(get('/'))
    assert isinstance(failure, HttpFailure)
    assert not failure.was_sent


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
async def test_failed_request_is_not_sent_again(serve, method):
    heads = []

    async def close_unanswered(reader, writer):
        heads.append(await reader.readuntil(b'\r\n\r\n'))

    async with serve(close_unanswered) as address:
        client = HttpClient(address)
        for _ in range(3):
            failure = await client.call(HttpRequest(method, '/'))
            assert isinstance(failure, HttpFailure)
            assert failure.was_sent
    assert len(heads) == 3


INVALID_ANSWERS = {
    'empty': b'',
    'no status': b'rubbish\r\n\r\n',
    'in the headers': b'HTTP/1.1 200 OK\r\nx-a: b\r\n',
    'without a length': b'HTTP/1.1 200 OK\r\nx-a: b\r\n\r\nhello',
    'in the body': b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello',
    'bad length': b'HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nhello',
    'negative length': b'HTTP/1.1 200 OK\r\ncontent-length: -4\r\n\r\nhello',
    'two lengths': (
        b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 16\r\n\r\n'
        b'0123456789abcdef'
    ),
    **{
        f'status {status}': (
            b'HTTP/1.1 %s Odd\r\ncontent-length: 2\r\n\r\nok' % status.encode()
        )
        for status in (
            '000',
            '099',
            '0200',
            '20',
            '2',
            '1000',
            '2000',
            '-200',
            '2x0',
            '100',
            '101',
        )
    },
    'only an interim answer': b'HTTP/1.1 100 Go\r\ncontent-length: 0\r\n\r\n',
    'another protocol': b'HTTP/1.1 101 Go\r\ncontent-length: 0\r\n\r\n',
    'in a chunk': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nh',
    'between chunks': (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n'
    ),
    'bad chunk': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
    'before the last line': (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0'
    ),
}


@pytest.mark.parametrize(
    'answer', INVALID_ANSWERS.values(), ids=list(INVALID_ANSWERS)
)
async def test_invalid_answer_is_a_failure(serve, answer):
    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await writer.drain()

    async with serve(handle) as address:
        failure = await HttpClient(address).call(get('/'))
    assert isinstance(failure, HttpFailure), failure
    assert failure.was_sent


async def test_answer_beyond_the_body_limit_is_a_failure(serve):
    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n')
        writer.write(b'x' * 99)
        await writer.drain()

    async with serve(handle) as address:
        client = HttpClient(address)
        failure = await client.call(
            HttpRequest('GET', '/', body_limit_bytes=50)
        )
    assert failure == HttpFailure('response body is too long', was_sent=True)


@pytest.mark.parametrize(
    ('method', 'target'),
    [
        ('GET', '/a b'),
        ('GET', '/a\r\nX-Evil: 1'),
        ('GET', 'a'),
        ('GET', '/ä'),
        ('GET X', '/'),
    ],
)
async def test_malformed_request_line_is_not_sent(serve, method, target):
    server = EchoServer()
    async with serve(server.handle) as address:
        failure = await HttpClient(address).call(HttpRequest(method, target))
    assert isinstance(failure, HttpFailure)
    assert not failure.was_sent
    assert not server.heads


async def test_header_with_line_break_is_not_sent(serve):
    server = EchoServer()
    headers = (('X-A', 'b\r\nX-Evil: 1'),)
    async with serve(server.handle) as address:
        client = HttpClient(address)
        failure = await client.call(HttpRequest('GET', '/', headers))
    assert isinstance(failure, HttpFailure)
    assert not failure.was_sent
    assert not server.heads


async def test_target_is_sent_complete(serve):
    server = EchoServer()
    async with serve(server.handle) as address:
        target = '/a;b/c;d=1?e=f;g&h=%20i'
        answer = await HttpClient(address).call(get(target))
    assert answer.body.decode() == target
