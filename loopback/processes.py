"""Starts programs as child processes and ends them after the test."""

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
UNNAMED_ADDRESS = 'main'
ROOT = pathlib.Path(__file__).resolve().parents[1]


class StartError(Exception):
    """A program ended early or did not listen in time."""


@dataclasses.dataclass(slots=True)
class Process:
    """A child process that a test has started.

    :param name: name in the test, such as `router 1`.
    :param popen: the child process.
    :param out_path: file that receives its standard output.
    :param err_path: file that receives its standard error.
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
        """Return the addresses that the process has printed so far, by name.

        It prints lines `listening ADDRESS` or `listening NAME ADDRESS`.
        """
        found = {}
        for line in self.out_path.read_text().splitlines():
            word, *rest = line.split()[:3] or ['']
            if word == 'listening' and rest:
                found[rest[0] if len(rest) > 1 else UNNAMED_ADDRESS] = rest[-1]
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
        """Return what the process has written to standard output and error."""
        return self.out_path.read_text() + self.err_path.read_text()

    def wait_listening(
        self,
        names: tuple[str, ...] = (),
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Wait until the process has printed where it listens.

        :param names: names of the addresses to wait for; empty for any one.
        :param timeout_s: longest wait, in seconds.
        :raises StartError: when the process ends or does not listen in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while not self._is_listening(names):
            if not self.is_running:
                code = self.popen.returncode
                raise StartError(
                    f'{self.name} ended with status {code}: {self.logs()}'
                )
            if time.monotonic() > deadline_s:
                raise StartError(
                    f'{self.name} did not listen in time: {self.logs()}'
                )
            time.sleep(POLL_S)

    def _is_listening(self, names: tuple[str, ...]) -> bool:
        printed = self.addresses
        return bool(printed) and all(name in printed for name in names)

    def terminate(self) -> None:
        """Send SIGTERM to the process."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._signal(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process continue."""
        self._signal(signal.SIGCONT)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process has ended and return its exit status.

        :param timeout_s: longest wait, in seconds.
        :raises subprocess.TimeoutExpired: when it does not end in time.
        """
        return self.popen.wait(timeout_s)

    def _signal(self, number: signal.Signals) -> None:
        # Unlike os.kill, this does nothing once the process was waited for, when
        # its id may already belong to another process.
        self.popen.send_signal(number)


class ProcessSet:
    """The processes that one test has started.

    :param log_dir: folder for the files with their output.
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
        """Start `python -m MODULE` without waiting until it listens.

        :param env: environment variables in addition to those of the test.
        """
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
            # A paused process handles SIGTERM only once it continues.
            process.resume()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            _end(process, max(0, deadline_s - time.monotonic()))


def _end(process: Process, timeout_s: float) -> None:
    try:
        process.wait(timeout_s)
    except subprocess.TimeoutExpired:
        process.kill()
