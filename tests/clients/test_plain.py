"""The client of plain services, against the plain service stand-in."""

import time

import pytest

from lagoonflow.clients.messages.plain import (
    PlainAnswer,
    PlainCall,
    PlainNotSent,
    PlainUnknown,
)
from lagoonflow.clients.plain import PlainClient
from loopback.http import counts, set_faults

TIMEOUT_MS = 2000


def booking_call(method='POST', body=b'slot-7'):
    headers = (('X-Request-Id', 'r-1'), ('Content-Type', 'text/x-slot'))
    return PlainCall(method, '/book?day=2', headers, body)


@pytest.mark.parametrize('method', ['POST', 'PUT', 'PATCH', 'DELETE'])
async def test_call_runs_once(standin, method):
    address = standin('plain', '--service', 'bookings')
    answer = await PlainClient(address).forward(
        booking_call(method), TIMEOUT_MS
    )
    assert isinstance(answer, PlainAnswer)
    assert answer.status == 200
    assert b'"echo":"slot-7"' in answer.body
    assert ('content-type', 'application/json') in answer.headers
    service_counts = counts(address)
    assert service_counts['by_request_id'] == {'r-1': 1}
    assert service_counts['queries_seen'] == ['day=2']
    assert service_counts['headers_seen'] == []


@pytest.mark.parametrize('method', ['POST', 'PUT', 'DELETE'])
async def test_unanswered_call_is_unknown_and_not_repeated(standin, method):
    address = standin('plain')
    client = PlainClient(address)
    await client.forward(booking_call(method, b'first'), TIMEOUT_MS)
    set_faults(address, close_before_answer=1)
    result = await client.forward(booking_call(method), TIMEOUT_MS)
    assert isinstance(result, PlainUnknown)
    assert counts(address)['by_body'] == {'first': 1, 'slot-7': 1}


async def test_call_to_a_silent_service_times_out_as_unknown(standin):
    address = standin('plain')
    set_faults(address, silent=True)
    start_s = time.monotonic()
    result = await PlainClient(address).forward(booking_call(), 200)
    assert isinstance(result, PlainUnknown)
    assert time.monotonic() - start_s < 1.5


async def test_call_to_a_stopped_service_is_not_sent(processes):
    process = processes.start('plain', 'standins.plain')
    process.wait_listening()
    process.kill()
    client = PlainClient(process.address)
    assert isinstance(await client.forward(booking_call(), 500), PlainNotSent)


async def test_get_without_body(standin):
    address = standin('plain')
    call = PlainCall('GET', '/rosters/today')
    answer = await PlainClient(address).forward(call, TIMEOUT_MS)
    assert answer.status == 200
    assert b'/rosters/today' in answer.body


async def test_hop_by_hop_headers_are_not_forwarded(serve):
    heads = []

    async def handle(reader, writer):
        heads.append((await reader.readuntil(b'\r\n\r\n')).lower())
        writer.write(b'HTTP/1.1 204 No Content\r\nConnection: X-Hop\r\n')
        writer.write(b'X-Hop: 1\r\nX-Kept: 2\r\n\r\n')
        await writer.drain()

    headers = (
        ('Connection', 'X-Secret-Hop'),
        ('X-Secret-Hop', '1'),
        ('Transfer-Encoding', 'chunked'),
        ('X-Twice', 'a'),
        ('X-Twice', 'b'),
    )
    async with serve(handle) as address:
        call = PlainCall('POST', '/', headers)
        answer = await PlainClient(address).forward(call, TIMEOUT_MS)
    assert answer == PlainAnswer(204, (('X-Kept', '2'),), b'')
    assert b'x-secret-hop' not in heads[0]
    assert b'transfer-encoding' not in heads[0]
    assert b'x-twice: a, b' in heads[0]
