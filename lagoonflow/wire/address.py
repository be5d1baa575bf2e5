"""Network addresses of processes and services."""

import dataclasses
from urllib.parse import urlsplit


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address on which a process or a service listens.

    :param host: IP address.
    :param port: TCP port; 0 lets the operating system choose one.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port`` as in flags, with IPv6 hosts in brackets."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    @property
    def url(self) -> str:
        """Return the base URL of HTTP requests to the address."""
        return f'http://{self}'


def netloc_of(url: str) -> str:
    """Return the HOST:PORT part of a URL."""
    return urlsplit(url).netloc
