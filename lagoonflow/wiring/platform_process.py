"""Process functions that router and agent share on the users' platform."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import prometheus_client as prometheus
import structlog

from lagoonflow.cancellations import is_cancelled
from lagoonflow.clock import MS_PER_S
from lagoonflow.declared.positions import Position
from lagoonflow.declared.records import StoreFailure
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.platform.store import MEMBERS_TOPIC, StoreClient
from lagoonflow.stalls import stall_meter
from lagoonflow.time_limits import time_limit
from lagoonflow.wiring.platform_feeds import MemberRecord

# Delay before a failed registration is retried, in ms; varied by 30 %.
REGISTRATION_RETRY_MS = 400
# Longest delay before a process registers again, in ms.
REGISTER_AGAIN_SPREAD_MS = 500
# Longest time for the removal of the own registration, in ms. It fits into the
# time that a stopping router reserves for ending.
REMOVAL_LIMIT_MS = 500
# Metrics are served on the port that follows the one for datagrams.
METRICS_PORT_OFFSET = 1
# Delay before a task that failed is started again, in ms.
RESTART_DELAY_MS = 1000

StartTask = Callable[[], Coroutine[Any, Any, None]]


async def register(
    store: StoreClient, settings: PlatformSettings, role: str
) -> Position:
    """Register this process in the metadata store, with retries.

    :returns: position of the record. Its rank only rises, so the newest start
        of a process has the highest one; agents use it as fencing token.
    """
    log = structlog.get_logger(part='members')
    address = f'{settings.ip_address}:{settings.peer_port}'
    record = msgspec.json.encode(MemberRecord(role, address, settings.zone))
    while True:
        position = await store.append(MEMBERS_TOPIC, settings.node, record)
        if not isinstance(position, StoreFailure):
            log.info('registered', offset=position.offset, era=position.era)
            return position
        log.warning('registration failed', reason=position.reason)
        delay_ms = REGISTRATION_RETRY_MS * random.uniform(0.7, 1.3)
        await asyncio.sleep(delay_ms / MS_PER_S)


async def keep_registered(
    store: StoreClient,
    settings: PlatformSettings,
    role: str,
    removed: asyncio.Event,
) -> None:
    """Register this process, and again whenever its registration is removed.

    :param removed: set when it was removed, or may have been lost.
    """
    while True:
        await register(store, settings, role)
        await removed.wait()
        removed.clear()
        # All processes register again after the store was restored.
        delay_ms = random.uniform(0, REGISTER_AGAIN_SPREAD_MS)
        await asyncio.sleep(delay_ms / MS_PER_S)


async def remove_registration(store: StoreClient, node: str) -> bool:
    """Remove the registration of a process that has ended or ends.

    :param node: name under which it is registered.
    :returns: whether the store has confirmed it.
    """
    log = structlog.get_logger(part='members')
    position = await store.append(MEMBERS_TOPIC, node, b'')
    if isinstance(position, StoreFailure):
        log.warning('removal failed', node=node, reason=position.reason)
        return False
    log.info(
        'registration removed',
        node=node,
        offset=position.offset,
        era=position.era,
    )
    return True


async def remove_own_registration(
    store: StoreClient, settings: PlatformSettings
) -> None:
    """Remove the registration of this process, which ends.

    If the store doesn't answer in time, another router removes it later.
    """
    log = structlog.get_logger(part='members')
    try:
        async with time_limit(REMOVAL_LIMIT_MS, counts_stalls=True):
            await remove_registration(store, settings.node)
    except TimeoutError:
        log.warning('removal failed', node=settings.node, reason='timeout')


def supervise(start: StartTask) -> asyncio.Task[None]:
    """Run a coroutine as a task that is started again when it fails.

    It also fails when something that it waits for is cancelled. The other tasks
    go on meanwhile: a process that ends cuts all its callers off.

    :param start: returns the coroutine; called for each start.
    """
    return asyncio.get_running_loop().create_task(_run_with_restarts(start))


async def _run_with_restarts(start: StartTask) -> None:
    log = structlog.get_logger(part='process')
    while True:
        try:
            await start()
        except (Exception, asyncio.CancelledError) as error:
            if isinstance(error, asyncio.CancelledError) and is_cancelled():
                raise
            log.exception('task failed', task=getattr(start, '__name__', ''))
        else:
            return
        await asyncio.sleep(RESTART_DELAY_MS / MS_PER_S)


def install_signal_handlers(stop: asyncio.Event) -> None:
    """Set ``stop`` on SIGTERM and SIGINT, and log SIGHUP.

    SIGHUP means that the settings file has changed; it isn't read again.
    """
    loop = asyncio.get_running_loop()
    log = structlog.get_logger(part='process')

    def log_settings_change() -> None:
        log.info('settings file changed')

    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, log_settings_change)


def measure_stalls(registry: prometheus.CollectorRegistry) -> None:
    """Log and export for how long the running event loop stood still."""
    meter = stall_meter()
    meter.begin_use()
    prometheus.Gauge(
        'lagoonflow_event_loop_stalled_seconds',
        'Time in which the event loop did not run.',
        registry=registry,
    ).set_function(meter.stalled_s)
    prometheus.Gauge(
        'lagoonflow_event_loop_longest_stall_ms',
        'Longest time in which the event loop did not run.',
        registry=registry,
    ).set_function(lambda: meter.longest_ms)
