"""Fixtures of the stand-ins' tests."""

import concurrent.futures
import time

import pytest


@pytest.fixture
def standin(processes):
    """Return a function that starts a stand-in and gives its address."""

    def start(name, *flags):
        process = processes.start(name, f'standins.{name}', *flags)
        process.wait_listening()
        return process.address

    return start


@pytest.fixture
def timed():
    """Return a function that runs calls at once and gives the seconds."""

    def run(calls):
        start_s = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
            for done in [pool.submit(call) for call in calls]:
                done.result()
        return time.monotonic() - start_s

    return run
