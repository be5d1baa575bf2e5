"""Client of the platform's host list."""

from lagoonflow.clients.exchange import (
    HttpFailure,
    HttpRequest,
    decode_json,
    describe_status,
)
from lagoonflow.clients.http import HttpClient
from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.hosts import HostList

OK = 200


class HostListClient:
    """Reads the host list, which lags behind the state of the platform.

    :param address: `IP:port` of the host list.
    """

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address)

    async def fetch(self) -> HostList | Unavailable:
        """Fetch the hosts that the platform lists."""
        answer = await self._http.call(HttpRequest('GET', '/hosts'))
        if isinstance(answer, HttpFailure):
            return Unavailable(answer.reason)
        if answer.status != OK:
            return Unavailable(describe_status(answer))
        hosts = decode_json(answer.body, HostList)
        if isinstance(hosts, HttpFailure):
            return Unavailable(hosts.reason)
        return hosts

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()
