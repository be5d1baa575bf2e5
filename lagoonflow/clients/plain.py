"""Client of a plain service: an HTTP service that is not a model engine."""

from lagoonflow.clients.exchange import HttpFailure, HttpRequest
from lagoonflow.clients.http import HttpClient
from lagoonflow.clients.messages.common import Headers
from lagoonflow.clients.messages.plain import (
    PlainAnswer,
    PlainCall,
    PlainNotSent,
    PlainResult,
    PlainUnknown,
)

# Headers for a single connection; all others are forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class PlainClient:
    """Forwards calls to one plain service, without retries.

    :param address: `IP:port` of the service.
    """

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address)

    async def forward(self, call: PlainCall, timeout_ms: float) -> PlainResult:
        """Forward a call, and never send it a second time.

        :param call: the call, without credentials.
        :param timeout_ms: time limit for the whole answer, in ms.
        """
        request = HttpRequest(
            call.method,
            call.target,
            _end_to_end_headers(call.headers),
            call.body,
            timeout_ms,
        )
        answer = await self._http.call(request)
        if isinstance(answer, HttpFailure):
            if answer.was_sent:
                return PlainUnknown(answer.reason)
            return PlainNotSent(answer.reason)
        headers = _end_to_end_headers(answer.headers)
        return PlainAnswer(answer.status, headers, answer.body)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()


def _end_to_end_headers(headers: Headers) -> Headers:
    """Drop the hop-by-hop headers and those that Connection names."""
    connection_options = {
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)
