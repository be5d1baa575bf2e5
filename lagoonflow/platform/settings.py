"""Reads the settings file that the platform writes for each process."""

import dataclasses
import pathlib
from collections.abc import Mapping

SETTINGS_VARIABLE = 'LAGOONFLOW_BOOT'
COMMENT = '#'
BYTES_PER_MB = 1_000_000
# Contract of deployments whose servers share machines and memory with others.
CONTENTION_CONTRACT = 'pressure'


class PlatformSettingError(Exception):
    """A field of the settings file is missing or malformed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of a process on the users' platform.

    Addresses are ``IP:port``.

    :param node: name of this process's host.
    :param zone: availability zone of the host.
    :param ip_address: IP address of the host.
    :param caller_address: address for callers; empty for agents.
    :param readiness_address: address for readiness checks; empty for agents.
    :param peer_port: port for datagrams between routers and agents.
    :param store_address: address of the metadata store.
    :param runner_address: address of the runner on this host; empty if none.
    :param service: service of that runner.
    :param withdrawal_ms: time after which a withdrawn key must be refused;
        0 when there is no such limit.
    :param stop_grace_ms: time from SIGTERM to SIGKILL.
    :param drain_ms: time after which a leaving server must get no requests.
    :param retry_ratio: retries allowed per request, on average.
    :param extra_retries: retries allowed in addition, over all routers.
    :param retry_window_ms: window in which requests and retries are counted.
    :param heartbeat_ms: interval of heartbeats.
    :param evacuate_ms: time after which servers in an evacuated zone must get
        no requests; 0 when zones can't be evacuated.
    :param cold_overage: factor of a cold server's rate that it tolerates in any
        second.
    :param cold_slack: requests that it tolerates in addition.
    :param memory_bytes: memory above which the process is killed; 0 when it is
        not stated.
    :param max_descriptors: descriptors that the process may have; 0 if the
        platform states no number.
    :param is_contended: servers compete for machines and memory, so their
        speed varies and memory is short.
    """

    node: str
    zone: str
    ip_address: str
    caller_address: str
    readiness_address: str
    peer_port: int
    store_address: str
    runner_address: str
    service: str
    withdrawal_ms: int
    stop_grace_ms: int
    drain_ms: int
    retry_ratio: float
    extra_retries: float
    retry_window_ms: int
    heartbeat_ms: int
    evacuate_ms: int = 0
    cold_overage: float = 1.5
    cold_slack: float = 5
    memory_bytes: int = 0
    max_descriptors: int = 0
    is_contended: bool = False


def read_settings(path: str) -> PlatformSettings:
    """Read and parse the settings file.

    :raises PlatformSettingError: names the field that is wrong.
    :raises OSError: when the file can't be read.
    """
    return parse_settings(pathlib.Path(path).read_text('utf-8'))


def parse_settings(text: str) -> PlatformSettings:
    """Parse settings in lines of the form ``a.b=value``.

    Other lines and unknown fields are ignored.

    :raises PlatformSettingError: names the field that is wrong.
    """
    fields = _Fields(dict(_split_lines(text)))
    ports = fields.text('internal_ports').split(',')
    return PlatformSettings(
        node=fields.text('node_name'),
        zone=fields.text('zone'),
        ip_address=fields.text('ip'),
        caller_address=fields.text('listen.frontend', ''),
        readiness_address=fields.text('listen.ready', ''),
        peer_port=_parse_port('internal_ports', ports[0]),
        store_address=fields.text('platform.address'),
        runner_address=fields.text('app', ''),
        service=fields.text('service', ''),
        withdrawal_ms=_withdrawal_ms(fields),
        stop_grace_ms=fields.integer('bounds.grace_s', 8) * 1000,
        drain_ms=fields.integer('bounds.drain_ms', 2000),
        retry_ratio=fields.number('bounds.retry_budget_ratio', 0.2),
        extra_retries=fields.number('bounds.budget_extra_retries', 20),
        retry_window_ms=fields.integer('bounds.budget_window_s', 10) * 1000,
        heartbeat_ms=fields.integer('heartbeat_ms', 1200),
        evacuate_ms=fields.integer('bounds.evacuate_ms', 0),
        cold_overage=fields.number('bounds.cold_overage', 1.5),
        cold_slack=fields.number('bounds.cold_slack', 5),
        memory_bytes=fields.integer('limits.memory_mb', 0) * BYTES_PER_MB,
        max_descriptors=fields.integer('limits.max_fds', 0),
        is_contended=CONTENTION_CONTRACT in fields.names('contracts'),
    )


def _withdrawal_ms(fields: '_Fields') -> int:
    if fields.text('bounds.revoke_strict', 'false') != 'true':
        return 0
    return fields.integer('bounds.revoke_ms', 5000)


def _split_lines(text: str):
    for line in text.splitlines():
        name, equals, value = line.partition('=')
        if equals and not name.lstrip().startswith(COMMENT):
            yield name.strip(), value.strip()


class _Fields:
    """Converts the values of the settings file to their types."""

    def __init__(self, fields: Mapping[str, str]) -> None:
        self._fields = fields

    def text(self, name: str, default: str | None = None) -> str:
        value = self._fields.get(name, default)
        if value is None:
            raise PlatformSettingError(f'{name} is missing')
        return value

    def names(self, name: str) -> frozenset[str]:
        """Return the comma-separated names of a field; none if absent."""
        names = self._fields.get(name, '').split(',')
        return frozenset(text.strip() for text in names if text.strip())

    def integer(self, name: str, default: int) -> int:
        return int(self.number(name, default))

    def number(self, name: str, default: float) -> float:
        text = self._fields.get(name, '')
        if not text:
            return default
        try:
            return float(text)
        except ValueError as error:
            message = f'{name} is not a number: {text!r}'
            raise PlatformSettingError(message) from error


def _parse_port(name: str, text: str) -> int:
    if not text.isdecimal():
        raise PlatformSettingError(f'{name} is not a port number: {text!r}')
    return int(text)
