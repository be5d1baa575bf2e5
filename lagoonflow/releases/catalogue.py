"""The objects that release notes define, and how a note changes them.

An object is in force from the note that adds it to the note that withdraws it.
"""

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

CHANGED_TWICE = 'The note changes this object twice.'
STALE_BASE = 'The change is based on version {base}; version {now} is in force.'
KEY_IS_WITHDRAWN = 'The key has been withdrawn for good.'
NOTHING_TO_WITHDRAW = 'There is no such object in force.'

SpecT = TypeVar('SpecT')


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectProblem:
    """Why a release note cannot make one of its changes.

    Problems are part of checkpoints, which processes compare: their fields
    and the texts of their reasons must not change.
    """

    kind: ObjectKind
    name: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Versioned(Generic[SpecT]):
    """The current version of an object.

    :param version: number of accepted changes of the object so far.
    :param spec: definition of the object; after a withdrawal the last one.
    :param is_withdrawn: whether the object is no longer in force.
    """

    version: int
    spec: SpecT
    is_withdrawn: bool = False


class StoredCatalogue(msgspec.Struct, frozen=True):
    """The catalogue as it is stored in checkpoints, by kind and name."""

    model: dict[str, Versioned[ModelSpec]]
    adapter: dict[str, Versioned[AdapterSpec]]
    organisation: dict[str, Versioned[OrganisationSpec]]
    key: dict[str, Versioned[KeySpec]]
    route: dict[str, Versioned[RouteSpec]]


class Catalogue:
    """All objects by kind and name, including withdrawn ones.

    A catalogue is not changed after its creation.

    :param objects: objects by kind and name; the mapping is not copied.
    """

    def __init__(
        self, objects: dict[ObjectKind, dict[str, Versioned[Any]]] | None = None
    ) -> None:
        self._objects = objects or {kind: {} for kind in ObjectKind}
        self._in_force: dict[ObjectKind, dict[str, Any]] = {}

    def find(self, kind: ObjectKind, name: str) -> Versioned[Any] | None:
        """Return an object, even if it is withdrawn; ``None`` if unknown."""
        return self._objects[kind].get(name)

    def all_by_name(self, kind: ObjectKind) -> Mapping[str, Versioned[Any]]:
        """Return the objects of a kind by name, including withdrawn ones."""
        return self._objects[kind]

    def in_force(self, kind: ObjectKind) -> dict[str, Any]:
        """Return the specs of the objects of a kind in force, by name."""
        if kind not in self._in_force:
            self._in_force[kind] = {
                name: stored.spec
                for name, stored in self._objects[kind].items()
                if not stored.is_withdrawn
            }
        return self._in_force[kind]

    def version(self, kind: ObjectKind, name: str) -> int:
        """Return the version of an object; 0 if it has never existed."""
        stored = self.find(kind, name)
        return stored.version if stored else 0

    def with_changes(self, changes: Iterable[Change]) -> 'Catalogue':
        """Return a new catalogue with the changes applied.

        :param changes: changes that passed :func:`check_bases`.
        """
        objects = {kind: dict(self._objects[kind]) for kind in ObjectKind}
        for change in changes:
            kind = kind_of(change)
            stored = objects[kind].get(change.name)
            objects[kind][change.name] = _next_version(stored, change)
        return Catalogue(objects)

    def dump(self) -> dict[str, Any]:
        """Return the objects for a checkpoint, as msgspec can encode them."""
        return {kind.value: self._objects[kind] for kind in ObjectKind}


def load_catalogue(stored: StoredCatalogue) -> Catalogue:
    """Rebuild a catalogue from a checkpoint."""
    return Catalogue({kind: getattr(stored, kind) for kind in ObjectKind})


def check_bases(
    catalogue: Catalogue, changes: Iterable[Change]
) -> list[ObjectProblem]:
    """Check that each change is based on the current version of its object.

    :returns: the problems found; empty when all changes can be applied.
    """
    already_changed: set[tuple[ObjectKind, str]] = set()
    problems = []
    for change in changes:
        kind = kind_of(change)
        reason = _base_problem(catalogue, change)
        if (kind, change.name) in already_changed:
            reason = CHANGED_TWICE
        already_changed.add((kind, change.name))
        if reason:
            problems.append(ObjectProblem(kind, change.name, reason))
    return problems


def _base_problem(catalogue: Catalogue, change: Change) -> str:
    stored = catalogue.find(kind_of(change), change.name)
    if isinstance(change, WithdrawKey):
        # Withdrawing a key is final and idempotent, so no concurrent change
        # can conflict with it and no base version is needed.
        return '' if stored else NOTHING_TO_WITHDRAW
    if stored and stored.is_withdrawn and kind_of(change) is ObjectKind.KEY:
        return KEY_IS_WITHDRAWN
    version = stored.version if stored else 0
    if change.base != version:
        return STALE_BASE.format(base=change.base, now=version)
    if is_withdrawal(change) and (stored is None or stored.is_withdrawn):
        return NOTHING_TO_WITHDRAW
    return ''


def _next_version(
    stored: Versioned[Any] | None, change: Change
) -> Versioned[Any]:
    version = stored.version + 1 if stored else 1
    if not is_withdrawal(change):
        return Versioned(version, change.spec())
    return Versioned(version, stored.spec, is_withdrawn=True)
