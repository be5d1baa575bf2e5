"""The objects in force, and how a note changes them."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any, Generic, TypeVar

import msgspec

from lagoonflow.releases.changes import (
    Change,
    WithdrawKey,
    is_withdrawal,
    kind_of,
)
from lagoonflow.releases.messages import (
    AdapterSpec,
    KeySpec,
    ModelSpec,
    ObjectKind,
    OrganisationSpec,
    RouteSpec,
)

TOUCHED_TWICE = 'The note changes this object twice.'
STALE_BASE = 'The change is based on version {base}; version {now} is in force.'
KEY_IS_WITHDRAWN = 'The key has been withdrawn for good.'
NOTHING_TO_WITHDRAW = 'There is no such object in force.'

SpecT = TypeVar('SpecT')


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectProblem:
    """Why a change of an object is not possible."""

    kind: ObjectKind
    name: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Versioned(Generic[SpecT]):
    """An object with its version.

    :param version: number of accepted changes so far.
    :param spec: what it is, or was before its withdrawal.
    """

    version: int
    spec: SpecT
    is_withdrawn: bool = False


class StoredCatalogue(msgspec.Struct, frozen=True):
    """The catalogue as checkpoints hold it."""

    model: dict[str, Versioned[ModelSpec]]
    adapter: dict[str, Versioned[AdapterSpec]]
    organisation: dict[str, Versioned[OrganisationSpec]]
    key: dict[str, Versioned[KeySpec]]
    route: dict[str, Versioned[RouteSpec]]


class Catalogue:
    """All objects by kind and name, withdrawn ones included.

    :param objects: the objects; taken over, not copied.
    """

    def __init__(
        self, objects: dict[ObjectKind, dict[str, Versioned[Any]]] | None = None
    ) -> None:
        self._objects = objects or {kind: {} for kind in ObjectKind}
        self._in_force: dict[ObjectKind, dict[str, Any]] = {}

    def find(self, kind: ObjectKind, name: str) -> Versioned[Any] | None:
        """Return an object, also a withdrawn one."""
        return self._objects[kind].get(name)

    def all_by_name(self, kind: ObjectKind) -> Mapping[str, Versioned[Any]]:
        """Return all objects of a kind, also withdrawn ones."""
        return self._objects[kind]

    def in_force(self, kind: ObjectKind) -> dict[str, Any]:
        """Return the specs of the objects in force, by name."""
        if kind not in self._in_force:
            self._in_force[kind] = {
                name: stored.spec
                for name, stored in self._objects[kind].items()
                if not stored.is_withdrawn
            }
        return self._in_force[kind]

    def version(self, kind: ObjectKind, name: str) -> int:
        """Return the version of an object; 0 when it never was."""
        stored = self.find(kind, name)
        return stored.version if stored else 0

    def with_changes(self, changes: Iterable[Change]) -> 'Catalogue':
        """Return the catalogue after changes that were checked."""
        objects = {kind: dict(self._objects[kind]) for kind in ObjectKind}
        for change in changes:
            kind = kind_of(change)
            known = objects[kind].get(change.name)
            objects[kind][change.name] = _next_version(known, change)
        return Catalogue(objects)

    def dump(self) -> dict[str, Any]:
        """Return the state as a value that msgspec encodes."""
        return {kind.value: self._objects[kind] for kind in ObjectKind}


def load_catalogue(stored: StoredCatalogue) -> Catalogue:
    """Rebuild a catalogue from a checkpoint."""
    return Catalogue({kind: getattr(stored, kind) for kind in ObjectKind})


def check_bases(
    catalogue: Catalogue, changes: Iterable[Change]
) -> list[ObjectProblem]:
    """Check each change against the version that it is based on."""
    touched: set[tuple[ObjectKind, str]] = set()
    problems = []
    for change in changes:
        kind = kind_of(change)
        reason = _base_problem(catalogue, change)
        if (kind, change.name) in touched:
            reason = TOUCHED_TWICE
        touched.add((kind, change.name))
        if reason:
            problems.append(ObjectProblem(kind, change.name, reason))
    return problems


def _base_problem(catalogue: Catalogue, change: Change) -> str:
    known = catalogue.find(kind_of(change), change.name)
    if isinstance(change, WithdrawKey):
        # Terminal and idempotent, so it needs no base version.
        return '' if known else NOTHING_TO_WITHDRAW
    if known and known.is_withdrawn and kind_of(change) is ObjectKind.KEY:
        return KEY_IS_WITHDRAWN
    version = known.version if known else 0
    if change.base != version:
        return STALE_BASE.format(base=change.base, now=version)
    if is_withdrawal(change) and (known is None or known.is_withdrawn):
        return NOTHING_TO_WITHDRAW
    return ''


def _next_version(
    known: Versioned[Any] | None, change: Change
) -> Versioned[Any]:
    version = known.version + 1 if known else 1
    if not is_withdrawal(change):
        return Versioned(version, change.spec())
    return Versioned(version, known.spec, is_withdrawn=True)
