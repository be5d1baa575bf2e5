"""Entries of datagrams about single backend servers."""

import msgspec


class LimitEntry(msgspec.Struct, array_like=True, frozen=True):
    """What a backend server has said about its limit.

    :param limit_per_s: requests per second that it takes from all routers
        together; ``None`` for no limit.
    :param age_ms: time since it said so, in ms.
    """

    instance: str
    started_ms: int
    limit_per_s: float | None
    age_ms: int


class SpeedEntry(msgspec.Struct, array_like=True, frozen=True):
    """What a router has observed of the speed of a backend server.

    :param log_factor: natural logarithm of the time that work takes there,
        relative to the other servers of its service.
    :param weight: number of the observations, discounted by their age.
    """

    instance: str
    started_ms: int
    log_factor: float
    weight: float


class OriginEntry(msgspec.Struct, array_like=True, frozen=True):
    """The software version that began a stream.

    :param request_id: id of the caller's attempt.
    :param left_ms: time for which callers may resume the stream, in ms.
    """

    request_id: str
    service: str
    software_version: str
    left_ms: int
