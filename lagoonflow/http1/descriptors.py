"""Shares the file descriptors of the process out among its connections."""

import resource
import socket
from collections.abc import Callable
from math import inf

import structlog

from lagoonflow.http1.messages import ExchangeError, ExchangeStage

_LOG = structlog.get_logger(part='http')
# Descriptors that are left to the metadata store, to checks and to files at most.
MAX_RESERVE = 300
# Share of the descriptors that is left to them where there are few.
RESERVE_SHARE = 0.2
# Share of the others that callers may use: each call may need a second one, for
# the connection to its server.
CALLER_SHARE = 0.75


class NoDescriptorError(ExchangeError):
    """This process has no descriptor for a connection; no fault of its peer."""

    def __init__(self) -> None:
        """Nothing was sent."""
        super().__init__(
            ExchangeStage.CONNECTING, 'the router has no descriptors left'
        )


class Descriptors:
    """Tells when callers and servers use too many descriptors.

    A new descriptor gets the lowest number that is free, so its number tells how
    many are in use at least.

    :param limit: number of descriptors that the process may have.
    :ivar close_idle: closes the connection of the caller that rests longest, and
        returns whether there was one; ``None`` without a server for callers.
    """

    def __init__(self, limit: float = inf) -> None:
        """Start without a server for callers."""
        reserve = min(limit * RESERVE_SHARE, MAX_RESERVE)
        self._server_limit = limit - reserve
        self._caller_limit = self._server_limit * CALLER_SHARE
        # Connections between both marks are refused, or lead to servers.
        self._accept_limit = (self._caller_limit + self._server_limit) / 2
        self.close_idle: Callable[[], bool] | None = None

    def is_beyond_callers(self, number: float) -> bool:
        """Return whether a connection is beyond what callers may have.

        :param number: number of its descriptor.
        """
        return number >= self._caller_limit

    def must_pause_accepting(self, number: float) -> bool:
        """Return whether refused callers would use what servers may have.

        :param number: the lowest number that is free.
        """
        return number >= self._accept_limit

    def has_one_for_servers(self) -> bool:
        """Return whether another connection to a server may be opened."""
        is_bounded = self._server_limit < inf
        return not is_bounded or lowest_free() < self._server_limit

    def free_one(self) -> bool:
        """Close an idle connection of a caller; return whether there was one."""
        return self.close_idle is not None and self.close_idle()


def lowest_free() -> float:
    """Return the number of the next descriptor; infinite if none is left."""
    try:
        with socket.socket() as probe:
            return probe.fileno()
    except OSError:
        return inf


def process_descriptors(stated: int = 0) -> Descriptors:
    """Return the descriptors of this process, which has hardly begun.

    They are unbounded where numbers don't tell how many are in use; accepting
    then pauses when the kernel has none left.

    :param stated: limit that the settings state; 0 if they don't.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = inf if soft == resource.RLIM_INFINITY else soft
    descriptors = Descriptors(min(limit, stated) if stated else limit)
    number = lowest_free()
    if number == lowest_free() and not descriptors.is_beyond_callers(number):
        return descriptors
    _LOG.warning('descriptors not counted', number=number, limit=limit)
    return Descriptors()
