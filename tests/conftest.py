"""Fixtures that all tests can use."""

# Loaded before the tests: CPython 3.11 fails to parse a module during whose
# import connections that a test left open are collected.
import hypothesis.internal.observability  # noqa: F401
import pytest

from lagoonflow.event_loop import new_event_loop
from loopback.cluster import Cluster
from loopback.processes import ProcessSet

pytest_plugins = ['tests.support.steps', 'tests.support.fleet_steps']


def pytest_asyncio_loop_factories():
    """Run tests on the event loop that the programs use."""
    return {'measured': new_event_loop}


@pytest.fixture
def processes(tmp_path):
    """Return a set of processes that end with the test."""
    process_set = ProcessSet(tmp_path)
    yield process_set
    process_set.end_all()


@pytest.fixture
def standin(processes):
    """Return a function that starts a stand-in and returns its address."""

    def start(name, *flags):
        process = processes.start(name, f'standins.{name}', *flags)
        process.wait_listening()
        return process.address

    return start


@pytest.fixture
def cluster(processes):
    """Return a cluster, of which the test starts the processes."""
    cluster_of_test = Cluster(processes)
    yield cluster_of_test
    cluster_of_test.close()
