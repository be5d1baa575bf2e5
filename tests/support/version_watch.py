"""Polls which release notes every program has applied."""

import collections
import dataclasses
import statistics
import threading
import time

from loopback import http

POLL_S = 0.05
TIMEOUT_S = 1
MS_PER_S = 1000
RECORDS = '/streams/releases/records?offset='


@dataclasses.dataclass(frozen=True, slots=True)
class PolledVersion:
    """The version that a ready program reported.

    :param at_ms: wall-clock time of the poll, in ms.
    :param pid: process id of the program.
    :param version: offset of the release notes that it reads next.
    """

    at_ms: float
    pid: int
    version: int


class VersionWatch:
    """Polls the programs of a cluster, each from its own thread.

    :param cluster: the cluster.
    :ivar polls: reported versions by program.
    :ivar append_times_ms: wall-clock append time of each note by offset, in ms.
    """

    def __init__(self, cluster) -> None:
        self.polls: dict[str, list[PolledVersion]] = collections.defaultdict(
            list
        )
        self.append_times_ms: dict[int, int] = {}
        self._cluster = cluster
        self._stop = threading.Event()
        self._threads: dict[str, threading.Thread] = {}

    def watch(self, name: str) -> None:
        """Start to poll a program, also after its restarts."""
        if name not in self._threads:
            thread = threading.Thread(
                target=self._run, args=(name,), daemon=True
            )
            self._threads[name] = thread
            thread.start()

    def read_append_times(self) -> None:
        """Read the append times of the notes from the log service."""
        log = self._cluster.address('log service')
        earliest = http.request(log, 'GET', f'{RECORDS}0').json()['earliest']
        reply = http.request(log, 'GET', f'{RECORDS}{earliest}').json()
        for record in reply['records']:
            if '"note"' in record['value']:
                self.append_times_ms[record['offset']] = record['time_ms']

    def delays_ms(self, name: str, since_ms: float) -> list[float]:
        """Return how long each note took to be in force at a program, in ms.

        :param since_ms: leave out notes appended before, in wall-clock ms.
        """
        offsets = [
            one for one, at in self.append_times_ms.items() if at >= since_ms
        ]
        return [self._delay_ms(name, offset) for offset in offsets]

    def find_decreases(self) -> list[tuple[str, PolledVersion, PolledVersion]]:
        """Return the successive polls between which a version decreased."""
        return [
            (name, before, after)
            for name, history in self.polls.items()
            for before, after in zip(history, history[1:], strict=False)
            if after.version < before.version
        ]

    def close(self) -> None:
        """Stop polling and wait for the threads."""
        self._stop.set()
        for thread in self._threads.values():
            thread.join()

    def _delay_ms(self, name: str, offset: int) -> float:
        appended_ms = self.append_times_ms[offset]
        reached = (
            one.at_ms - appended_ms
            for one in self.polls[name]
            if one.version > offset and one.at_ms >= appended_ms
        )
        return next(reached, float('inf'))

    def _run(self, name: str) -> None:
        while not self._stop.wait(POLL_S):
            process = self._cluster.process(name)
            try:
                address = self._cluster.address(name, '/status')
                reply = http.request(
                    address, 'GET', '/status', timeout_s=TIMEOUT_S
                )
                status = reply.json()
            except (OSError, KeyError, http.http.client.HTTPException):
                continue
            if status['is_ready']:
                version = status['streams']['releases']['next_offset']
                at_ms = time.time() * MS_PER_S
                self.polls[name].append(
                    PolledVersion(at_ms, process.pid, version)
                )


def median_and_maximum(delays_ms: list[float]) -> tuple[float, float]:
    """Return the median and the maximum."""
    return statistics.median(delays_ms), max(delays_ms)
