"""Compares a release note with the objects in force, before publishing."""

import dataclasses
import enum
from typing import Any

import msgspec

from lagoonflow.releases.catalogue import Catalogue, ObjectProblem
from lagoonflow.releases.changes import Change, is_withdrawal, kind_of
from lagoonflow.releases.messages import ObjectKind
from lagoonflow.releases.state import check_changes


class PlanAction(enum.StrEnum):
    """What a note does to an object; ``keep`` means that nothing changes."""

    ADD = 'add'
    CHANGE = 'change'
    WITHDRAW = 'withdraw'
    KEEP = 'keep'


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """One field of an object before and after a note."""

    name: str
    before: Any
    after: Any


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedChange:
    """What a note would do to one object.

    :param version: current version of the object; 0 for a new object.
    :param fields: the fields that would change.
    """

    kind: ObjectKind
    name: str
    action: PlanAction
    version: int
    fields: tuple[FieldChange, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a note would change, and the problems that would reject it."""

    changes: tuple[PlannedChange, ...]
    problems: tuple[ObjectProblem, ...] = ()


def make_plan(catalogue: Catalogue, changes: tuple[Change, ...]) -> Plan:
    """Compare the changes of a note with the objects in force."""
    problems, _ = check_changes(catalogue, changes)
    planned = tuple(_plan_change(catalogue, change) for change in changes)
    return Plan(planned, tuple(problems))


def _plan_change(catalogue: Catalogue, change: Change) -> PlannedChange:
    kind = kind_of(change)
    stored = catalogue.find(kind, change.name)
    version = stored.version if stored else 0
    before = {}
    if stored and not stored.is_withdrawn:
        before = msgspec.to_builtins(stored.spec)
    after = {}
    if not is_withdrawal(change):
        after = msgspec.to_builtins(change.spec())
    names = dict.fromkeys((*before, *after))
    fields = tuple(
        FieldChange(name, before.get(name), after.get(name))
        for name in names
        if before.get(name) != after.get(name)
    )
    action = _action_for(before, after)
    return PlannedChange(kind, change.name, action, version, fields)


def _action_for(before: dict[str, Any], after: dict[str, Any]) -> PlanAction:
    if not after:
        return PlanAction.WITHDRAW
    if not before:
        return PlanAction.ADD
    if before == after:
        return PlanAction.KEEP
    return PlanAction.CHANGE
