"""What router and agent have in common on the platform."""

import asyncio
import random
import signal
from collections.abc import Coroutine
from typing import Any

import msgspec
import structlog

from lagoonflow.clock import MS_PER_S
from lagoonflow.declared.records import StoreFailure
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.platform.store import MEMBERS_TOPIC, StoreClient
from lagoonflow.wiring.platform_feeds import MemberRecord

# Delay before a failed registration is repeated, in ms.
REGISTER_DELAY_MS = 400
# The port beside the one for datagrams serves metrics.
METRICS_PORT_OFFSET = 1


async def register(
    store: StoreClient, settings: PlatformSettings, role: str
) -> int:
    """Register this process and return the offset of the record.

    Offsets only grow, so that the newest start has the highest one.
    """
    log = structlog.get_logger(part='members')
    address = f'{settings.ip_address}:{settings.peer_port}'
    record = msgspec.json.encode(MemberRecord(role, address))
    while True:
        offset = await store.append(MEMBERS_TOPIC, settings.node, record)
        if not isinstance(offset, StoreFailure):
            log.info('registered', offset=offset)
            return offset
        log.warning('registration failed', reason=offset.reason)
        delay_ms = REGISTER_DELAY_MS * random.uniform(0.7, 1.3)
        await asyncio.sleep(delay_ms / MS_PER_S)


def supervise(
    work: Coroutine[Any, Any, None], stop: asyncio.Event
) -> asyncio.Task[None]:
    """Start a task; when it fails, the process stops and is started anew."""
    log = structlog.get_logger(part='process')

    def note_end(task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            log.error('task failed', exc_info=task.exception())
            stop.set()

    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(note_end)
    return task


def on_signals(stop: asyncio.Event) -> None:
    """Set an event on SIGTERM; note SIGHUP."""
    loop = asyncio.get_running_loop()
    log = structlog.get_logger(part='process')

    def reload() -> None:
        log.info('settings file changed')

    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
