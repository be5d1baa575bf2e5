"""Which servers may continue a stream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AnyVersion:
    """The call begins a stream, so every server may run it."""


@dataclasses.dataclass(frozen=True, slots=True)
class OneVersion:
    """Only servers with this software version may run the call."""

    software_version: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownVersion:
    """The call resumes a stream, but not at which version it began.

    :param may_become_known: whether a newer list of servers, or another router,
        may tell.
    """

    reason: str
    may_become_known: bool = False


VersionRequirement = AnyVersion | OneVersion | UnknownVersion


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software version that sent the first event of a stream.

    :param request_id: id of the caller's attempt that received the event.
    :param service: service of the server.
    :param expires_at_ms: boot time at which callers no longer resume it.
    """

    request_id: str
    service: str
    software_version: str
    expires_at_ms: float
