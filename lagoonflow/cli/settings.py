"""Settings of the programs: flags and environment variables."""

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
    """Settings that contradict each other; the text names the flag."""


@Parameter(name='*')
@dataclasses.dataclass(frozen=True, kw_only=True)
class CommonSettings:
    """What every program needs to know."""

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
        Parameter(help="URL of the platform's list of hosts."),
    ]
    peer_address: Annotated[
        AddressArgument,
        Parameter(help='HOST:PORT for the other processes (gRPC).'),
    ] = LOOPBACK
    admin_address: Annotated[
        AddressArgument,
        Parameter(help='HOST:PORT for health, metrics, status, time line.'),
    ] = LOOPBACK
    log_format: Annotated[
        LogFormat,
        Parameter(help='How log lines are written.'),
    ] = LogFormat.CONSOLE
    log_level: Annotated[
        LogLevel,
        Parameter(help='Least severe level that is logged.'),
    ] = LogLevel.INFO
    retention_s: Annotated[
        PositiveInt,
        Parameter(help='How long the log service keeps records, in s.'),
    ] = 600
    host_list_lag_s: Annotated[
        PositiveFloat,
        Parameter(help='How far the list of hosts lags at most, in s.'),
    ] = 5
    stop_timeout_s: Annotated[
        PositiveInt,
        Parameter(help='Longest time of a graceful stop, in s.'),
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
        Parameter(help='Authority that signs all processes (PEM).'),
    ] = None
    allow_plaintext: Annotated[
        bool,
        Parameter(help='Allow other than loopback addresses without TLS.'),
    ] = False

    def check(self) -> None:
        """Check what no single flag shows.

        :raises SettingError: when settings contradict each other.
        """
        self._check_tls()
        for flag, address in self.plaintext_addresses():
            self._check_plaintext(flag, address)

    def plaintext_addresses(self) -> tuple[tuple[str, Address], ...]:
        """Return the addresses that other processes reach, by flag."""
        return (
            ('--peer-address', self.peer_address),
            ('--admin-address', self.admin_address),
        )

    def has_tls(self) -> bool:
        """Tell whether the processes talk over mutual TLS."""
        return self.tls_certificate is not None

    def _check_tls(self) -> None:
        given = {
            '--tls-certificate': self.tls_certificate,
            '--tls-key': self.tls_key,
            '--tls-authority': self.tls_authority,
        }
        missing = [flag for flag, path in given.items() if path is None]
        if missing and len(missing) < len(given):
            raise SettingError(
                f'{missing[0]} is missing: give all three TLS files or none.',
            )
        for flag, path in given.items():
            if path is not None and not path.is_file():
                raise SettingError(f'{flag}: there is no file {path}.')

    def _check_plaintext(self, flag: str, address: Address) -> None:
        if self.has_tls() or self.allow_plaintext:
            return
        if not ipaddress.ip_address(address.host).is_loopback:
            raise SettingError(
                f'{flag}: {address.host} is not loopback. Set the TLS files, '
                'or --allow-plaintext if the network is trusted.',
            )


@Parameter(name='*')
@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterSettings(CommonSettings):
    """Settings of a router."""

    address: Annotated[
        AddressArgument,
        Parameter(help='HOST:PORT for callers (HTTP).'),
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
        Parameter(help='Largest request body, in bytes.'),
    ] = 1_048_576
    max_header_bytes: Annotated[
        PositiveInt,
        Parameter(help='Largest request head, in bytes.'),
    ] = 16384
    max_connections: Annotated[
        PositiveInt,
        Parameter(help='Most connections and requests of callers at once.'),
    ] = 8192
    max_waiting: Annotated[
        PositiveInt,
        Parameter(help='Most requests in work at once.'),
    ] = 4096
    default_deadline_ms: Annotated[
        PositiveInt,
        Parameter(help='Time until an answer has to begin, in ms.'),
    ] = 30_000
    unready_s: Annotated[
        PositiveFloat,
        Parameter(help='Time between not ready and closed, in s.'),
    ] = 1

    def plaintext_addresses(self) -> tuple[tuple[str, Address], ...]:
        """Return the addresses that other processes reach, by flag."""
        internal = super().plaintext_addresses()
        if self.caller_certificate is not None:
            return internal
        return (('--address', self.address), *internal)

    def check(self) -> None:
        """Check what no single flag shows.

        :raises SettingError: when settings contradict each other.
        """
        super().check()
        if (self.caller_certificate is None) != (self.caller_key is None):
            raise SettingError(
                '--caller-certificate and --caller-key go together.',
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
        Parameter(help='Most sequences or calls that run at once.'),
    ] = 16
    engine_fencing: Annotated[
        bool,
        Parameter(help='Whether the engine refuses old fencing numbers.'),
    ] = True
    store_loads_per_s: Annotated[
        PositiveFloat,
        Parameter(help='Loads a second that the weight store allows.'),
    ] = 1.5
    store_parallel: Annotated[
        PositiveInt,
        Parameter(help='Loads at once at full speed of the weight store.'),
    ] = 4
    store_sharers: Annotated[
        PositiveInt,
        Parameter(help='Agents that share its rate when no home answers.'),
    ] = 8

    def check(self) -> None:
        """Check what no single flag shows.

        :raises SettingError: when settings contradict each other.
        """
        super().check()
        if bool(self.service) != bool(self.service_url):
            raise SettingError('--service and --service-url go together.')
        if not self.engine_url and not self.service_url:
            raise SettingError(
                '--engine-url is missing: an agent needs it, '
                'or --service with --service-url.',
            )
