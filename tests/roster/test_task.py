"""Tests of joining, leaving and reporting with an in-memory log."""

import asyncio
import contextlib

from lagoonflow.roster.host_monitor import HostMonitor, HostState
from lagoonflow.roster.host_monitor import HostMonitorSettings as Settings
from lagoonflow.roster.state import RosterFold
from lagoonflow.roster.task import RosterTask
from lagoonflow.roster.writer import RosterWriter
from lagoonflow.streams.appender import StreamAppender
from lagoonflow.streams.follower import StreamFollower
from lagoonflow.streams.messages import Stream
from tests.roster.test_state import member
from tests.streams.memory_log import MemoryLog


class Process:
    """One member process with its follower, appender and roster task."""

    def __init__(self, log: MemoryLog, number: int, hosts: dict) -> None:
        self.fold = RosterFold()
        follower = StreamFollower(self.fold, log)
        appender = StreamAppender(
            Stream.ROSTER, log, lambda: self.fold.next_offset
        )
        writer = RosterWriter(f'p{number}', appender, follower)

        async def read_hosts():
            return hosts

        own = member(number)
        self.task = RosterTask(
            own, self.fold, writer.append, read_hosts, lambda: None
        )
        self.task.host_monitor = HostMonitor(
            own.name, own.host, Settings(list_lag_ms=0, jitter_ms=0)
        )
        self._coroutines = [follower.run, appender.run, self.task.run]

    @contextlib.asynccontextmanager
    async def running(self):
        running = [asyncio.create_task(run()) for run in self._coroutines]
        try:
            yield self
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)


async def until(condition, timeout_s: float = 8) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def test_joins_once_when_an_answer_is_lost_and_leaves() -> None:
    log = MemoryLog()
    log.lose_answers = 1
    async with Process(log, 1, {}).running() as process:
        await until(lambda: process.task.is_member)
        assert len(process.fold.members) == 1
        assert await process.task.leave() is None
        assert process.fold.members == ()


async def test_joins_once_the_log_is_available_again() -> None:
    log = MemoryLog()
    log.is_down = True
    async with Process(log, 1, {}).running() as process:
        await asyncio.sleep(0.3)
        assert not process.task.is_member
        log.is_down = False
        await until(lambda: process.task.is_member)


async def test_dropped_member_is_reported_gone() -> None:
    log = MemoryLog()
    hosts = {f'127.0.1.{n}': HostState.LIVE for n in (1, 2)}
    first, second = Process(log, 1, hosts), Process(log, 2, hosts)
    async with first.running():
        async with second.running():
            await until(lambda: len(first.fold.members) == 2)
        hosts.pop('127.0.1.2')
        await until(lambda: len(first.fold.members) == 1)
        assert first.task.is_member
