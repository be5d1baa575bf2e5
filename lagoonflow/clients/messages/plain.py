"""Calls to plain services and their results."""

import dataclasses

from lagoonflow.clients.messages.common import Headers


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """A call to a plain service.

    :param method: HTTP method.
    :param target: path and query, percent-encoded.
    :param headers: headers without credentials.
    :param body: body of the call.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class PlainAnswer:
    """The whole answer of a plain service.

    :param status: HTTP status.
    :param headers: headers except those that concern one connection only.
    :param body: the body as received, without decompression.
    """

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PlainNotSent:
    """The service certainly received nothing of the call.

    :param reason: what went wrong, for logs and error messages.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlainUnknown:
    """It is unknown whether the service ran the call.

    :param reason: what went wrong, for logs and error messages.
    """

    reason: str


PlainResult = PlainAnswer | PlainNotSent | PlainUnknown
