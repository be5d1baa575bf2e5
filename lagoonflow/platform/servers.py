"""Decodes the entries of backend servers in the metadata store."""

import msgspec

from lagoonflow.backends.messages import BackendServer, HeldModel
from lagoonflow.platform.bounds import (
    Count,
    DurationMs,
    Slots,
    check_address,
    check_server_id,
)
from lagoonflow.platform.cold_times import parse_cold_ms

# States of a server that can be used; entries with another one are ignored.
_READY = 'ready'
_DRAINING = 'draining'


class AvailableCopies(msgspec.Struct):
    """Copies of models' weights on a runner's host, for faster loads."""

    in_memory: list[str] = []
    on_disk: list[str] = []


class ModelEntry(msgspec.Struct):
    """A model that a runner holds, with its adapters."""

    name: str
    version: int = 0
    adapters: list[str] = []


class _Entry(msgspec.Struct):
    """An entry as servers write it.

    Fields without a default are in each of them. An entry that lacks one is
    from another writer, and may contradict the server whose id it bears.
    """

    service: str
    address: str
    zone: str
    state: str
    # Version of the server's software, not of any weights.
    version: str | int
    slots: Slots
    # Orders accepted since the start.
    sequence: Count
    # Time for which the server is cold; a malformed one doesn't make the whole
    # entry unreadable.
    cold_left_ms: msgspec.Raw
    # Unix time of the start, in ms.
    born: Count = 0
    # Time until the server is removed; only set when that is announced.
    remaining_ms: DurationMs | None = None
    models: list[ModelEntry] = []
    available: AvailableCopies = msgspec.field(default_factory=AvailableCopies)


class EntryError(Exception):
    """The entry doesn't describe a backend server that can be used."""


def decode_server(key: str, raw: bytes) -> BackendServer:
    """Decode the entry of a backend server.

    :param key: key of the record; ends with the id of the server.
    :param raw: value of the record, in JSON.
    :raises EntryError: when the entry is malformed, or its state unknown.
    """
    try:
        return _to_server(key, msgspec.json.decode(raw, type=_Entry))
    except (ValueError, OverflowError, RecursionError) as error:
        raise EntryError(str(error)) from error


def _to_server(key: str, entry: _Entry) -> BackendServer:
    if entry.state not in {_READY, _DRAINING}:
        raise EntryError(f'unknown state {entry.state!r}')
    return BackendServer(
        instance=check_server_id(key.rpartition('/')[2]),
        service=entry.service,
        address=check_address(entry.address),
        zone=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == _DRAINING,
        remaining_ms=entry.remaining_ms,
        started_ms=entry.born,
        order_sequence=entry.sequence,
        models=decode_held_models(entry.models),
        in_memory=frozenset(entry.available.in_memory),
        on_disk=frozenset(entry.available.on_disk),
        software_version=str(entry.version),
        cold_for_ms=_cold_for_ms(bytes(entry.cold_left_ms)),
    )


def _cold_for_ms(raw: bytes) -> float | None:
    if raw in {b'', b'null'}:
        return None
    return parse_cold_ms(raw.decode('utf-8', 'replace'))


def decode_held_models(models: list[ModelEntry]) -> tuple[HeldModel, ...]:
    """Convert the models that a runner holds from their wire format."""
    return tuple(
        HeldModel(model.name, model.version, frozenset(model.adapters))
        for model in models
    )
