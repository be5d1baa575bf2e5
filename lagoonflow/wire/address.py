"""Addresses of processes and services."""

import dataclasses
from urllib.parse import urlsplit


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a process or a service listens.

    :param host: IP address.
    :param port: TCP port; 0 lets the system choose one.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as it is written in flags."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    @property
    def url(self) -> str:
        """Return the address as the base of HTTP URLs."""
        return f'http://{self}'


def netloc_of(url: str) -> str:
    """Return the HOST:PORT part of a URL."""
    return urlsplit(url).netloc
