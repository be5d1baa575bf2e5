"""What is left of a call that has ended."""

import asyncio
import gc

from lagoonflow.clock import boottime_ms
from lagoonflow.relay.messages import Call
from tests.relay.harness import (
    Backend,
    RelayHarness,
    answer_with,
    encode_request,
    read_answer,
)

BODY_BYTES = 100_003


def living_calls():
    """Return the calls in memory that have the body of this test."""
    calls = [one for one in gc.get_objects() if type(one) is Call]
    return [one for one in calls if len(one.body) == BODY_BYTES]


async def test_bodies_of_ended_calls_are_freed_without_garbage_collection():
    harness = RelayHarness()
    backend = await Backend(answer_with('200 OK', 'x')).start('i-1', 'app')
    harness.fleet.roster.put(backend, boottime_ms())
    reader, writer = await harness.connect()
    gc.collect()
    gc.disable()
    try:
        writer.write(encode_request('/read/x', body='x' * BODY_BYTES))
        assert (await read_answer(reader))[0] == 200
        await asyncio.sleep(0.05)
        assert not living_calls()
    finally:
        gc.enable()
