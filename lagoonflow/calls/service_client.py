"""Client for the plain service beside an agent."""

from collections.abc import AsyncIterator

from lagoonflow.calls.messages import Header, ServiceAnswer, ServiceCall
from lagoonflow.clients.messages.plain import (
    PlainAnswer,
    PlainCall,
    PlainNotSent,
    PlainUnknown,
)
from lagoonflow.clients.plain import PlainClient
from lagoonflow.results import Refusal, Result

CALL_TIMEOUT_MS = 30_000


class PlainServiceClient:
    """Sends calls to the plain service over HTTP."""

    def __init__(
        self,
        client: PlainClient,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        """Use an HTTP client.

        :param timeout_ms: longest time of one call in ms.
        """
        self._client = client
        self._timeout_ms = timeout_ms

    async def call(
        self,
        call: ServiceCall,
    ) -> AsyncIterator[ServiceAnswer | bytes | Refusal]:
        """Send a call; yield status and headers, then body, or a refusal."""
        target = f'{call.path}?{call.query}' if call.query else call.path
        plain_call = PlainCall(
            call.method,
            target,
            tuple((header.name, header.value) for header in call.headers),
            call.body,
        )
        match await self._client.forward(plain_call, self._timeout_ms):
            case PlainAnswer(status=status, headers=headers, body=body):
                fields = tuple(Header(name, text) for name, text in headers)
                yield ServiceAnswer(status, fields)
                yield body
            case PlainNotSent(reason=reason):
                yield Refusal(Result.BACKEND_UNREACHABLE, reason)
            case PlainUnknown(reason=reason):
                yield Refusal(Result.OUTCOME_UNKNOWN, reason, not_run=False)
