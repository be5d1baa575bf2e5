"""Fixtures for the tests of the stand-ins."""

import concurrent.futures
import time

import pytest


@pytest.fixture
def timed():
    """Return a function that runs calls concurrently and returns seconds."""

    def run(calls):
        start_s = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
            for done in [pool.submit(call) for call in calls]:
                done.result()
        return time.monotonic() - start_s

    return run
