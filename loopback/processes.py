"""Starts programs on free ports and always ends them."""

import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 8
POLL_S = 0.01
MAIN = 'main'
ROOT = pathlib.Path(__file__).resolve().parents[1]


class StartError(Exception):
    """A program ended or did not listen in time."""


@dataclasses.dataclass(slots=True)
class Process:
    """A program that a test has started.

    :param name: name in the test, such as `router 1`.
    :param popen: the child process.
    :param out_path: file with its standard output.
    :param err_path: file with its standard error.
    """

    name: str
    popen: subprocess.Popen
    out_path: pathlib.Path
    err_path: pathlib.Path

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    @property
    def addresses(self) -> dict[str, str]:
        """Return the addresses printed so far, by name.

        A line is `listening ADDRESS` or `listening NAME ADDRESS`.
        """
        found = {}
        for line in self.out_path.read_text().splitlines():
            word, *rest = line.split()[:3] or ['']
            if word == 'listening' and rest:
                found[rest[0] if len(rest) > 1 else MAIN] = rest[-1]
        return found

    @property
    def address(self) -> str:
        """Return the first address that was printed."""
        return next(iter(self.addresses.values()))

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.popen.poll() is None

    def logs(self) -> str:
        """Return all output."""
        return self.out_path.read_text() + self.err_path.read_text()

    def wait_listening(
        self,
        names: tuple[str, ...] = (),
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Wait for one address, or for all of the names.

        :raises StartError: when the process ends or the time is over.
        """
        deadline_s = time.monotonic() + timeout_s
        while not self._listens(names):
            if not self.is_running:
                code = self.popen.returncode
                raise StartError(f'{self.name} ended ({code}): {self.logs()}')
            if time.monotonic() > deadline_s:
                raise StartError(f'{self.name} is late: {self.logs()}')
            time.sleep(POLL_S)

    def _listens(self, names: tuple[str, ...]) -> bool:
        printed = self.addresses
        return bool(printed) and all(name in printed for name in names)

    def terminate(self) -> None:
        """Ask the process to stop."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._signal(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a suspended process go on."""
        self._signal(signal.SIGCONT)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit status.

        :raises subprocess.TimeoutExpired: when the time is over.
        """
        return self.popen.wait(timeout_s)

    def _signal(self, number: signal.Signals) -> None:
        # Popen.send_signal does nothing once the process was reaped.
        self.popen.send_signal(number)


class ProcessSet:
    """All processes of one test.

    :param log_dir: folder for their output.
    """

    def __init__(self, log_dir: pathlib.Path) -> None:
        self.log_dir = log_dir
        self._started: list[Process] = []

    def start(
        self,
        name: str,
        module: str,
        *flags: str,
        env: dict[str, str] | None = None,
    ) -> Process:
        """Start `python -m MODULE` without waiting for its address."""
        stem = f'{len(self._started):02d}-{name.replace(" ", "-")}'
        out_path = self.log_dir / f'{stem}.out'
        err_path = self.log_dir / f'{stem}.err'
        with out_path.open('wb') as out, err_path.open('wb') as err:
            popen = subprocess.Popen(
                [sys.executable, '-m', module, *map(str, flags)],
                cwd=ROOT,
                env={**os.environ, **(env or {})},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
            )
        process = Process(name, popen, out_path, err_path)
        self._started.append(process)
        return process

    def all(self) -> list[Process]:
        """Return the processes in the order of their start."""
        return list(self._started)

    def end_all(self) -> None:
        """End the processes of this set, and no others."""
        running = [one for one in self._started if one.is_running]
        for process in running:
            process.terminate()
            process.resume()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            _end(process, max(0, deadline_s - time.monotonic()))


def _end(process: Process, timeout_s: float) -> None:
    try:
        process.wait(timeout_s)
    except subprocess.TimeoutExpired:
        process.kill()
