"""Entries of backend servers in the metadata store."""

import msgspec

from lagoonflow.backends.messages import BackendServer, HeldModel

# Stages in which a server may be listed; others are not known here.
_SERVING = 'ready'
_LEAVING = 'draining'


class AvailableCopies(msgspec.Struct):
    """Copies of weights that a runner keeps beside what it holds."""

    in_memory: list[str] = []
    on_disk: list[str] = []


class ModelEntry(msgspec.Struct):
    """A model that a runner holds."""

    name: str
    version: int = 0
    adapters: list[str] = []


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    # Unix time of the start, in ms.
    born: int = 0
    # Counts the orders that were accepted.
    sequence: int = 0
    remaining_ms: float | None = None
    models: list[ModelEntry] = []
    available: AvailableCopies = msgspec.field(default_factory=AvailableCopies)


class EntryError(Exception):
    """The entry names no server that can be used."""


def decode_server(key: str, raw: bytes) -> BackendServer:
    """Decode the entry of a backend server.

    :param key: key of the record; ends with the id of the server.
    :raises EntryError: when the entry can't be read.
    """
    try:
        entry = msgspec.json.decode(raw, type=_Entry)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise EntryError(str(error)) from error
    if entry.state not in {_SERVING, _LEAVING}:
        raise EntryError(f'state {entry.state!r}')
    if not entry.address.rpartition(':')[2].isdecimal():
        raise EntryError(f'address {entry.address!r}')
    return BackendServer(
        instance=key.rpartition('/')[2],
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == _LEAVING,
        remaining_ms=entry.remaining_ms,
        started_ms=entry.born,
        order_sequence=entry.sequence,
        models=held_models(entry.models),
        in_memory=frozenset(entry.available.in_memory),
        on_disk=frozenset(entry.available.on_disk),
    )


def held_models(models: list[ModelEntry]) -> tuple[HeldModel, ...]:
    """Translate the models that a runner holds."""
    return tuple(
        HeldModel(model.name, model.version, frozenset(model.adapters))
        for model in models
    )
