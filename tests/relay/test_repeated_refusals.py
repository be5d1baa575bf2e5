"""Servers that write an earlier refusal once more on a kept connection."""

import asyncio

import pytest

from tests.relay.harness import (
    RelayHarness,
    answer_with,
    encode_request,
    read_answer,
)

REFUSALS = (
    b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n%bContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 421 Other\r\n%bContent-Length: 0\r\n\r\n',
)


class RepeatingServer:
    """Refuses its first request, and writes that refusal again later.

    :param id_line: header of the repeated refusal that states its request.
    :param answers: whether it goes on with the answer to its own request.
    """

    def __init__(self, refusal, id_line, delay_s, *, answers=True):
        self.has_refused = False
        self._refusal = refusal
        self._id_line = id_line
        self._delay_s = delay_s
        self._answers = answers

    async def script(self, writer, received):
        if not self.has_refused:
            self.has_refused = True
            own = f'Attempt-Id: {received.headers["attempt-id"]}\r\n'.encode()
            writer.write(self._refusal % own)
            return
        await asyncio.sleep(self._delay_s)
        writer.write(self._refusal % self._id_line)
        await asyncio.sleep(self._delay_s)
        if self._answers:
            await answer_with('200 OK', 'done')(writer, received)


async def call(harness, request_id):
    reader, writer = await harness.open_connection()
    request = encode_request('/book/x').replace(b'a1', request_id)
    writer.write(request)
    return await read_answer(reader)


@pytest.mark.parametrize('refusal', REFUSALS)
@pytest.mark.parametrize('id_line', [b'', b'Attempt-Id: first\r\n'])
@pytest.mark.parametrize('delay_s', [0, 0.03])
async def test_a_repeated_refusal_is_not_taken_for_the_answer(
    refusal, id_line, delay_s
):
    harness = RelayHarness()
    server = RepeatingServer(refusal, id_line, delay_s)
    (backend,) = await harness.add_backends(server.script)
    await harness.http.listen('127.0.0.1:0')
    assert (await call(harness, b'first'))[0] == 503
    (other,) = await harness.add_backends(
        answer_with('200 OK', 'twice'), service='other'
    )
    status, _, body = await call(harness, b'second')
    assert (status, body) == (200, b'done')
    assert len(backend.requests) == 2
    assert not other.requests


@pytest.mark.parametrize('refusal', REFUSALS)
async def test_a_refusal_that_may_be_repeated_does_not_say_not_run(refusal):
    harness = RelayHarness()
    server = RepeatingServer(refusal, b'', 0, answers=False)
    await harness.add_backends(server.script)
    await harness.http.listen('127.0.0.1:0')
    await call(harness, b'first')
    assert (await call(harness, b'second'))[0] in {502, 504}


async def test_a_connection_that_refused_a_request_does_not_carry_it_again():
    """Its id would make a repeated refusal look like a new one."""
    harness = RelayHarness()
    server = RepeatingServer(REFUSALS[0], b'Attempt-Id: same\r\n', 0)
    (backend,) = await harness.add_backends(server.script)
    await harness.http.listen('127.0.0.1:0')
    assert (await call(harness, b'same'))[0] == 503
    status, _, body = await call(harness, b'same')
    assert (status, body) != (200, b'done')
    assert len(backend.requests) == 2
    assert backend.connections == 2


@pytest.mark.parametrize('refusal', REFUSALS)
async def test_a_refusal_on_a_new_connection_is_believed(refusal):
    harness = RelayHarness()

    async def refuse(writer, _received):
        writer.write(refusal % b'')

    await harness.add_backends(refuse, answer_with('200 OK', 'done'))
    await harness.http.listen('127.0.0.1:0')
    status, _, body = await call(harness, b'first')
    assert (status, body) == (200, b'done')


async def test_a_success_without_an_id_is_not_given_to_a_later_caller():
    harness = RelayHarness()
    stray = (
        b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nfirst'
    )
    requests = []

    async def script(writer, received):
        requests.append(received)
        if len(requests) == 1:
            await answer_with('200 OK', 'first')(writer, received)
        else:
            writer.write(stray)

    await harness.add_backends(script)
    await harness.http.listen('127.0.0.1:0')
    assert (await call(harness, b'first'))[2] == b'first'
    assert (await call(harness, b'second'))[0] == 502
