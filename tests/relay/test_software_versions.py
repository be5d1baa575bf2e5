"""Tests of streams beside servers of two software versions."""

import asyncio

from lagoonflow.clock import boottime_ms
from lagoonflow.resumption.messages import StreamOrigin
from tests.relay.harness import (
    RelayHarness,
    answer_events,
    answer_with,
    encode_request,
    read_framed_answer,
)

RESUME = ('Last-Event-Id: 2', 'Resumes: first')


def know_origin(harness, software_version, service='app'):
    now_ms = boottime_ms()
    origin = StreamOrigin('first', service, software_version, now_ms + 5000)
    harness.origins.learn(origin, now_ms)


async def test_a_stream_does_not_go_on_at_another_software_version():
    harness = RelayHarness()
    first, other, same = await harness.add_backends(
        answer_events(1, 2, ends=False),
        answer_events(3, 4),
        answer_events(3, 4),
        software_versions=('v1', 'v2', 'v1'),
    )
    reader, writer = await harness.connect()
    writer.write(encode_request('/resume/x'))
    answer = await read_framed_answer(reader)
    assert answer.is_complete
    assert (len(first.requests), len(same.requests)) == (1, 1)
    assert not other.requests


async def test_a_stream_without_a_server_of_its_version_breaks_off():
    harness = RelayHarness()
    _, other = await harness.add_backends(
        answer_events(1, 2, ends=False),
        answer_events(3, 4),
        software_versions=('v1', 'v2'),
    )
    reader, writer = await harness.connect()
    writer.write(encode_request('/resume/x'))
    assert not (await read_framed_answer(reader)).is_complete
    assert not other.requests


async def test_a_stream_that_sent_nothing_may_begin_at_any_version():
    harness = RelayHarness()
    await harness.add_backends(
        answer_events(1, 0, ends=False),
        answer_events(1, 2),
        software_versions=('v1', 'v2'),
    )
    status, _, body = await harness.send_request('/resume/x')
    assert (status, body.count(b'data')) == (200, 2)


async def test_a_caller_that_comes_back_is_sent_to_the_version_that_began():
    harness = RelayHarness()
    other, same = await harness.add_backends(
        answer_events(3, 4),
        answer_events(3, 4),
        software_versions=('v1', 'v2'),
    )
    know_origin(harness, 'v2')
    status, _, _ = await harness.send_request('/resume/x', *RESUME)
    assert (status, len(same.requests)) == (200, 1)
    assert not other.requests


async def test_a_begun_stream_is_announced_with_its_version():
    harness = RelayHarness()
    await harness.add_backends(answer_events(1, 2), software_versions=('v7',))
    await harness.send_request('/resume/x')
    origin = harness.origins.find('a1', boottime_ms())
    assert (origin.service, origin.software_version) == ('app', 'v7')


async def test_a_resumed_stream_of_unknown_version_is_refused_at_once():
    harness = RelayHarness()
    (backend,) = await harness.add_backends(answer_events(3, 4))
    for headers in (RESUME, RESUME[:1], (RESUME[0], 'Resumes: a b')):
        status, seen, _ = await harness.send_request('/resume/x', *headers)
        assert status == 503
        assert float(seen['retry-after']) > 0
    assert not backend.requests


async def test_a_stream_of_another_service_is_refused():
    harness = RelayHarness()
    (backend,) = await harness.add_backends(answer_events(3, 4))
    know_origin(harness, 'v1', service='other')
    status, _, _ = await harness.send_request('/resume/x', *RESUME)
    assert status == 503
    assert not backend.requests


def follow_list(harness, *versions):
    """Let the relay have followed the list of servers until now."""
    now_ms = boottime_ms()
    for age_ms in range(100_000, -1, -1000):
        harness.versions.confirm(now_ms - age_ms)
    for version in versions:
        harness.versions.note('app', version, now_ms)


async def follow_older_list(harness, *versions):
    """Let the next call come in a later ms than the list."""
    follow_list(harness, *versions)
    await asyncio.sleep(0.002)


async def read_list_when_wanted(harness, *versions):
    """Read the list of servers as soon as a call waits for it."""
    await harness.calls.list_wanted.wait()
    await asyncio.sleep(0.05)
    follow_list(harness, *versions)
    harness.calls.placer.fleet_changed.notify()


async def test_the_only_version_of_a_service_needs_no_origin():
    harness = RelayHarness()
    await harness.add_backends(answer_events(3, 4))
    await follow_older_list(harness, 'v1')
    reading = asyncio.create_task(read_list_when_wanted(harness, 'v1'))
    status, _, _ = await harness.send_request('/resume/x', RESUME[0])
    assert status == 200
    await reading


async def test_a_stream_is_not_joined_to_a_version_that_its_own_one_followed():
    """Streams may have begun at a version that joined after the last list."""
    harness = RelayHarness()
    (backend,) = await harness.add_backends(answer_events(3, 4))
    await follow_older_list(harness, 'v1')
    reading = asyncio.create_task(read_list_when_wanted(harness, 'v1', 'v2'))
    status, _, _ = await harness.send_request('/resume/x', *RESUME)
    assert status == 503
    assert not backend.requests
    await reading


async def test_a_resumed_stream_waits_no_longer_than_a_list_takes():
    harness = RelayHarness()
    (backend,) = await harness.add_backends(answer_events(3, 4))
    await follow_older_list(harness, 'v1')
    sent_ms = boottime_ms()
    status, headers, _ = await harness.send_request('/resume/x', *RESUME)
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert boottime_ms() - sent_ms < 1500
    assert not backend.requests


async def test_a_request_that_cannot_be_resumed_needs_no_version():
    harness = RelayHarness()
    await harness.add_backends(answer_with('200 OK', 'fine'))
    status, _, _ = await harness.send_request('/read/x', *RESUME)
    assert status == 200


async def test_a_resumed_stream_waits_until_a_new_router_has_asked_the_others():
    harness = RelayHarness()
    other, same = await harness.add_backends(
        answer_events(3, 4),
        answer_events(3, 4),
        software_versions=('v1', 'v2'),
    )
    harness.origins.is_known = False
    pending = asyncio.create_task(harness.send_request('/resume/x', *RESUME))
    await asyncio.sleep(0.1)
    assert not pending.done()
    know_origin(harness, 'v2')
    harness.origins.is_known = True
    harness.calls.placer.fleet_changed.notify()
    status, _, _ = await pending
    assert (status, len(same.requests), other.requests) == (200, 1, [])


async def test_a_resumed_stream_that_nobody_knows_of_is_refused_in_time():
    harness = RelayHarness()
    await harness.add_backends(answer_events(3, 4))
    harness.origins.is_known = False
    sent_ms = boottime_ms()
    status, headers, _ = await harness.send_request('/resume/x', *RESUME)
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert boottime_ms() - sent_ms < 1500
