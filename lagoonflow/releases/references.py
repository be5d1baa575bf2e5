"""Checks the references between objects as a note would leave them."""

from collections import defaultdict
from collections.abc import Iterable

from lagoonflow.releases.catalogue import Catalogue, ObjectProblem
from lagoonflow.releases.changes import Change, is_withdrawal, kind_of
from lagoonflow.releases.messages import ObjectKind

NO_MODEL = 'Its model {name!r} is not in force.'
NO_ORGANISATION = 'Its organisation {name!r} is not in force.'
HAS_ADAPTERS = 'These adapters still need it: {names}.'
HAS_KEYS = 'These keys still belong to it: {names}.'
SAME_DIGEST = 'These keys have the same digest: {names}.'
SAME_PREFIX = 'These routes have the same prefix: {names}.'
MAX_NAMES = 5

Index = dict[str, list[str]]


def check_references(
    after: Catalogue, changes: Iterable[Change]
) -> list[ObjectProblem]:
    """Check the changed objects against the catalogue after the note.

    :param after: the catalogue with the changes applied.
    :returns: the problems found; empty when all references are valid.
    """
    checks = _ReferenceChecks(after)
    problems = []
    for change in changes:
        kind = kind_of(change)
        if is_withdrawal(change):
            reason = checks.withdrawal_problem(kind, change.name)
        else:
            reason = checks.put_problem(kind, change.name)
        if reason:
            problems.append(ObjectProblem(kind, change.name, reason))
    return problems


class _ReferenceChecks:
    def __init__(self, after: Catalogue) -> None:
        self._catalogue = after
        self._adapters_by_model: Index = defaultdict(list)
        self._keys_by_organisation: Index = defaultdict(list)
        self._keys_by_digest: Index = defaultdict(list)
        self._routes_by_prefix: Index = defaultdict(list)
        self._build_indexes()

    def put_problem(self, kind: ObjectKind, name: str) -> str:
        match kind:
            case ObjectKind.ADAPTER:
                return self._adapter_problem(name)
            case ObjectKind.KEY:
                return self._key_problem(name)
            case ObjectKind.ROUTE:
                prefix = self._catalogue.in_force(kind)[name].prefix
                others = _list_others(self._routes_by_prefix[prefix], name)
                return SAME_PREFIX.format(names=others) if others else ''
            case _:
                return ''

    def withdrawal_problem(self, kind: ObjectKind, name: str) -> str:
        match kind:
            case ObjectKind.MODEL:
                adapters = _list_others(self._adapters_by_model[name])
                return HAS_ADAPTERS.format(names=adapters) if adapters else ''
            case ObjectKind.ORGANISATION:
                keys = _list_others(self._keys_by_organisation[name])
                return HAS_KEYS.format(names=keys) if keys else ''
            case _:
                return ''

    def _adapter_problem(self, name: str) -> str:
        model = self._catalogue.in_force(ObjectKind.ADAPTER)[name].model
        if model in self._catalogue.in_force(ObjectKind.MODEL):
            return ''
        return NO_MODEL.format(name=model)

    def _key_problem(self, name: str) -> str:
        spec = self._catalogue.in_force(ObjectKind.KEY)[name]
        organisations = self._catalogue.in_force(ObjectKind.ORGANISATION)
        if spec.organisation not in organisations:
            return NO_ORGANISATION.format(name=spec.organisation)
        others = _list_others(self._keys_by_digest[spec.digest], name)
        return SAME_DIGEST.format(names=others) if others else ''

    def _build_indexes(self) -> None:
        after = self._catalogue
        for name, adapter in after.in_force(ObjectKind.ADAPTER).items():
            self._adapters_by_model[adapter.model].append(name)
        for name, key in after.in_force(ObjectKind.KEY).items():
            self._keys_by_organisation[key.organisation].append(name)
        # Includes withdrawn keys: a withdrawn key must not be added again
        # under another name.
        for name, stored in after.all_by_name(ObjectKind.KEY).items():
            self._keys_by_digest[stored.spec.digest].append(name)
        for name, route in after.in_force(ObjectKind.ROUTE).items():
            self._routes_by_prefix[route.prefix].append(name)


def _list_others(names: list[str], name: str = '') -> str:
    others = sorted(other for other in names if other != name)
    shown = ', '.join(others[:MAX_NAMES])
    more = len(others) - MAX_NAMES
    return f'{shown} and {more} more' if more > 0 else shown
