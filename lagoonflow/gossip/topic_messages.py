"""Datagrams by which routers read the metadata store for each other."""

import msgspec


class TopicQuery(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Asks a router what it has read of a topic of the metadata store.

    :param query_id: identifies the query in the answer.
    :param offset: offset up to which the sender has read the topic.
    :param era: era of the metadata store that the offset belongs to.
    """

    router: str
    query_id: int
    topic: str
    offset: int
    era: int = 0


class TopicEntry(msgspec.Struct, array_like=True, frozen=True):
    """A record of a topic; no value means that its key was deleted."""

    key: str
    value: bytes | None


class TopicAnswer(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """What a router has read of a topic after an offset.

    :param next_offset: offset up to which it has read the topic.
    :param age_ms: time since the topic was known to have no more records, in
        ms.
    :param is_whole: whether the records are all that changed; otherwise they
        have to be read from the store.
    :param era: era of the metadata store that the offset belongs to.
    """

    router: str
    query_id: int
    records: tuple[TopicEntry, ...] = ()
    next_offset: int = 0
    age_ms: float = 0
    is_whole: bool = False
    era: int = 0
