"""What a release note would change against what is in force."""

import dataclasses
import enum
from typing import Any

import msgspec

from lagoonflow.releases.catalogue import Catalogue, ObjectProblem
from lagoonflow.releases.changes import Change, is_withdrawal, kind_of
from lagoonflow.releases.messages import ObjectKind
from lagoonflow.releases.state import check_changes


class PlanAction(enum.StrEnum):
    """What happens to an object."""

    ADD = 'add'
    CHANGE = 'change'
    WITHDRAW = 'withdraw'
    KEEP = 'keep'


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """One field of an object before and after."""

    name: str
    before: Any
    after: Any


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedChange:
    """What a note would do to one object.

    :param version: version now in force; 0 for a new object.
    """

    kind: ObjectKind
    name: str
    action: PlanAction
    version: int
    fields: tuple[FieldChange, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a note would do, and why it would be rejected."""

    changes: tuple[PlannedChange, ...]
    problems: tuple[ObjectProblem, ...] = ()


def make_plan(catalogue: Catalogue, changes: tuple[Change, ...]) -> Plan:
    """Compare a note with what is in force."""
    problems, _ = check_changes(catalogue, changes)
    planned = tuple(_planned(catalogue, change) for change in changes)
    return Plan(planned, tuple(problems))


def _planned(catalogue: Catalogue, change: Change) -> PlannedChange:
    kind = kind_of(change)
    known = catalogue.find(kind, change.name)
    version = known.version if known else 0
    before = {}
    if known and not known.is_withdrawn:
        before = msgspec.to_builtins(known.spec)
    after = {}
    if not is_withdrawal(change):
        after = msgspec.to_builtins(change.spec())
    names = dict.fromkeys((*before, *after))
    fields = tuple(
        FieldChange(name, before.get(name), after.get(name))
        for name in names
        if before.get(name) != after.get(name)
    )
    action = _action(before, after)
    return PlannedChange(kind, change.name, action, version, fields)


def _action(before: dict[str, Any], after: dict[str, Any]) -> PlanAction:
    if not after:
        return PlanAction.WITHDRAW
    if not before:
        return PlanAction.ADD
    if before == after:
        return PlanAction.KEEP
    return PlanAction.CHANGE
