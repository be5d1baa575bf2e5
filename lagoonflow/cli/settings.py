"""Settings of the router and the agent, each of them a flag."""

import dataclasses
import ipaddress
import pathlib
from typing import Annotated

from cyclopts import Parameter

from lagoonflow.cli.arguments import (
    AddressArgument,
    NameArgument,
    PositiveFloat,
    PositiveInt,
    UrlArgument,
)
from lagoonflow.telemetry.logs import LogFormat, LogLevel
from lagoonflow.wire.address import Address

LOOPBACK = Address('127.0.0.1', 0)


class SettingError(Exception):
    """Settings contradict each other; the message names the flag."""


@Parameter(name='*')
@dataclasses.dataclass(frozen=True, kw_only=True)
class CommonSettings:
    """Settings that routers and agents share."""

    name: Annotated[
        NameArgument,
        Parameter(help='Unique name of this process.'),
    ]
    zone: Annotated[
        NameArgument,
        Parameter(help='Availability zone of this host.'),
    ]
    log_url: Annotated[
        UrlArgument,
        Parameter(help='URL of the log service.'),
    ]
    hosts_url: Annotated[
        UrlArgument,
        Parameter(help="URL of the platform's host list."),
    ]
    peer_address: Annotated[
        AddressArgument,
        Parameter(help='HOST:PORT to listen on for other processes (gRPC).'),
    ] = LOOPBACK
    admin_address: Annotated[
        AddressArgument,
        Parameter(
            help='HOST:PORT to serve health, metrics, status and time line.'
        ),
    ] = LOOPBACK
    log_format: Annotated[
        LogFormat,
        Parameter(help='Format of log lines.'),
    ] = LogFormat.CONSOLE
    log_level: Annotated[
        LogLevel,
        Parameter(help='Lowest level that is logged.'),
    ] = LogLevel.INFO
    retention_s: Annotated[
        PositiveInt,
        Parameter(help='How long the log service keeps records, in s.'),
    ] = 600
    host_list_lag_s: Annotated[
        PositiveFloat,
        Parameter(help='Maximum lag of the host list, in s.'),
    ] = 5
    stop_timeout_s: Annotated[
        PositiveInt,
        Parameter(help='Timeout of a graceful stop, in s.'),
    ] = 60
    tls_certificate: Annotated[
        pathlib.Path | None,
        Parameter(help='Certificate of this process (PEM).'),
    ] = None
    tls_key: Annotated[
        pathlib.Path | None,
        Parameter(help='Key of that certificate (PEM).'),
    ] = None
    tls_authority: Annotated[
        pathlib.Path | None,
        Parameter(help='Certificate authority of all processes (PEM).'),
    ] = None
    allow_plaintext: Annotated[
        bool,
        Parameter(help='Allow addresses other than loopback without TLS.'),
    ] = False

    def check(self) -> None:
        """Check settings that depend on each other.

        :raises SettingError: when they contradict each other.
        """
        self._check_tls()
        for flag, address in self.plaintext_addresses():
            self._check_plaintext(flag, address)

    def plaintext_addresses(self) -> tuple[tuple[str, Address], ...]:
        """Return the addresses that use no TLS unless the TLS files are set.

        :returns: pairs of flag and address.
        """
        return (
            ('--peer-address', self.peer_address),
            ('--admin-address', self.admin_address),
        )

    def has_tls(self) -> bool:
        """Return whether the processes use mutual TLS between them."""
        return self.tls_certificate is not None

    def _check_tls(self) -> None:
        tls_files = {
            '--tls-certificate': self.tls_certificate,
            '--tls-key': self.tls_key,
            '--tls-authority': self.tls_authority,
        }
        missing = [flag for flag, path in tls_files.items() if path is None]
        if missing and len(missing) < len(tls_files):
            raise SettingError(
                f'{missing[0]} is missing: set all three TLS files or none.',
            )
        for flag, path in tls_files.items():
            if path is not None and not path.is_file():
                raise SettingError(f'{flag}: the file {path} does not exist.')

    def _check_plaintext(self, flag: str, address: Address) -> None:
        if self.has_tls() or self.allow_plaintext:
            return
        if not ipaddress.ip_address(address.host).is_loopback:
            raise SettingError(
                f'{flag}: {address.host} is not a loopback address. Set the '
                'TLS files, or --allow-plaintext if the network is trusted.',
            )


@Parameter(name='*')
@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterSettings(CommonSettings):
    """Settings of a router."""

    address: Annotated[
        AddressArgument,
        Parameter(help='HOST:PORT to listen on for callers (HTTP).'),
    ] = Address('127.0.0.1', 8080)
    caller_certificate: Annotated[
        pathlib.Path | None,
        Parameter(help='Certificate shown to callers (PEM).'),
    ] = None
    caller_key: Annotated[
        pathlib.Path | None,
        Parameter(help='Key of that certificate (PEM).'),
    ] = None
    max_body_bytes: Annotated[
        PositiveInt,
        Parameter(help='Maximum size of a request body, in bytes.'),
    ] = 1_048_576
    max_header_bytes: Annotated[
        PositiveInt,
        Parameter(help='Maximum size of a request head, in bytes.'),
    ] = 16384
    max_connections: Annotated[
        PositiveInt,
        Parameter(
            help='Maximum number of connections and requests of callers.'
        ),
    ] = 8192
    max_waiting: Annotated[
        PositiveInt,
        Parameter(help='Maximum number of requests in progress.'),
    ] = 4096
    default_deadline_ms: Annotated[
        PositiveInt,
        Parameter(help='Default time until an answer has to begin, in ms.'),
    ] = 30_000
    unready_s: Annotated[
        PositiveFloat,
        Parameter(help='On a stop, delay from not ready to closing, in s.'),
    ] = 1

    def plaintext_addresses(self) -> tuple[tuple[str, Address], ...]:
        """Return the addresses that use no TLS unless the TLS files are set.

        The address for callers is not among them when it has a certificate
        of its own.

        :returns: pairs of flag and address.
        """
        internal = super().plaintext_addresses()
        if self.caller_certificate is not None:
            return internal
        return (('--address', self.address), *internal)

    def check(self) -> None:
        """Check settings that depend on each other.

        :raises SettingError: when they contradict each other.
        """
        super().check()
        if (self.caller_certificate is None) != (self.caller_key is None):
            raise SettingError(
                'Set both --caller-certificate and --caller-key, or neither.',
            )


@Parameter(name='*')
@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentSettings(CommonSettings):
    """Settings of an agent."""

    engine_url: Annotated[
        UrlArgument,
        Parameter(help='URL of the model engine beside this agent.'),
    ] = ''
    service: Annotated[
        str,
        Parameter(help='Name of the plain service beside this agent.'),
    ] = ''
    service_url: Annotated[
        UrlArgument,
        Parameter(help='URL of that plain service.'),
    ] = ''
    engine_memory_mb: Annotated[
        PositiveInt,
        Parameter(help='Memory of the accelerator, in MB.'),
    ] = 16_000
    max_running: Annotated[
        PositiveInt,
        Parameter(
            help='Maximum number of sequences or calls that run at once.'
        ),
    ] = 16
    engine_fencing: Annotated[
        bool,
        Parameter(help='Whether the engine refuses outdated fencing tokens.'),
    ] = True
    store_loads_per_s: Annotated[
        PositiveFloat,
        Parameter(help='Loads per second that the weight store allows.'),
    ] = 1.5
    store_parallel: Annotated[
        PositiveInt,
        Parameter(
            help='Concurrent loads that the weight store serves at full speed.'
        ),
    ] = 4
    store_sharers: Annotated[
        PositiveInt,
        Parameter(
            help='Agents that share the rate of the store if no home answers.'
        ),
    ] = 8

    def check(self) -> None:
        """Check settings that depend on each other.

        :raises SettingError: when they contradict each other.
        """
        super().check()
        if bool(self.service) != bool(self.service_url):
            raise SettingError(
                'Set both --service and --service-url, or neither.'
            )
        if not self.engine_url and not self.service_url:
            raise SettingError(
                '--engine-url is missing: set it, or --service with '
                '--service-url.',
            )
