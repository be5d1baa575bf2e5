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


async def test_bodies_of_ended_calls_are_freed_without_garbage_collection():
    harness = RelayHarness()
    backend = await Backend(answer_with('200 OK', 'x')).start('i-1', 'app')
    harness.fleet.roster.put(backend, boottime_ms())
    reader, writer = await harness.connect()
    gc.collect()
    gc.disable()
    try:
        writer.write(encode_request('/read/x', body='x' * 100_000))
        assert (await read_answer(reader))[0] == 200
        await asyncio.sleep(0.05)
        assert not [one for one in gc.get_objects() if type(one) is Call]
    finally:
        gc.enable()
