"""Datagrams by which a router that starts learns what the others know."""

import msgspec

from lagoonflow.gossip.entries import OriginEntry


class StreamsQuery(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Asks a router for the streams that it knows of.

    :param query_id: identifies the query in the answer.
    :param after: ``next_number`` of the answer before; 0 for the first
        entries, and below 0 for none.
    """

    router: str
    query_id: int
    after: int = 0


class StreamsAnswer(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Part of the streams that a router knows of.

    :param started_ms: wall clock of the router's start. Numbers belong to one
        start.
    :param is_whole: whether the router knows all streams of the fleet that
        callers may resume.
    :param count: number of streams that it knows of.
    :param next_number: where the next part begins.
    :param is_last: whether no part follows.
    :param version: version of the configuration in force; below 0 for none.
    :param version_age_ms: time since it was put in force, in ms.
    """

    router: str
    query_id: int
    started_ms: int
    is_whole: bool = False
    count: int = 0
    origins: tuple[OriginEntry, ...] = ()
    next_number: int = 0
    is_last: bool = False
    version: int = -1
    version_age_ms: int = 0
