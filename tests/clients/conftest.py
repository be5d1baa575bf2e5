"""Fixtures for the tests of the clients."""

import asyncio
import contextlib

import pytest


@contextlib.asynccontextmanager
async def _serve(handler):
    """Handle TCP connections with a function, and yield the address."""
    tasks = set()

    async def handle_connection(reader, writer):
        tasks.add(asyncio.current_task())
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            await handler(reader, writer)
        writer.close()

    server = await asyncio.start_server(handle_connection, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    yield f'{host}:{port}'
    server.close()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.fixture
def serve():
    """Return a context manager that serves TCP with a given handler."""
    return _serve
