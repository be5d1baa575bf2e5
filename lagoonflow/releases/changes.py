"""Changes of objects, as in note files and on the releases stream.

A change either puts an object (adds or replaces it) or withdraws it. The
classes are the schema of both: their names and fields must not change.
"""

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec

from lagoonflow.releases import fields
from lagoonflow.releases.messages import (
    AdapterSpec,
    KeySpec,
    ModelSpec,
    ObjectKind,
    OrganisationSpec,
    RouteSpec,
)

NOTE_KIND = 'note'
PUT = 'put'
WITHDRAW = 'withdraw'
MAX_CHANGES = 2000

Fields = dict[str, Any]


class _Put(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field=PUT,
):
    name: fields.Name
    base: fields.BaseVersion


class PutModel(_Put, frozen=True, kw_only=True, tag='model'):
    """Adds or replaces a model."""

    version: fields.Label
    checkpoint: fields.Label
    memory_mb: fields.MemoryMb
    max_replicas: fields.Replicas = 2

    def spec(self) -> ModelSpec:
        """Return the new definition of the object."""
        return ModelSpec(
            self.version, self.checkpoint, self.memory_mb, self.max_replicas
        )


class PutAdapter(_Put, frozen=True, kw_only=True, tag='adapter'):
    """Adds or replaces an adapter."""

    model: fields.Name
    version: fields.Label
    checkpoint: fields.Label
    memory_mb: fields.MemoryMb = 32

    def spec(self) -> AdapterSpec:
        """Return the new definition of the object."""
        return AdapterSpec(
            self.model, self.version, self.checkpoint, self.memory_mb
        )


class PutOrganisation(_Put, frozen=True, kw_only=True, tag='organisation'):
    """Adds or replaces an organisation."""

    rate_tokens_per_s: fields.Tokens
    burst_tokens: fields.Tokens

    def spec(self) -> OrganisationSpec:
        """Return the new definition of the object."""
        return OrganisationSpec(self.rate_tokens_per_s, self.burst_tokens)


class PutKey(_Put, frozen=True, kw_only=True, tag='key'):
    """Adds or replaces a key, which is given by its digest."""

    organisation: fields.Name
    digest: fields.Digest

    def spec(self) -> KeySpec:
        """Return the new definition of the object."""
        return KeySpec(self.organisation, self.digest)


class PutRoute(_Put, frozen=True, kw_only=True, tag='route'):
    """Adds or replaces a route to a plain service (not a model)."""

    prefix: fields.Prefix
    service: fields.Name
    is_open: bool = False
    is_idempotent: bool = False
    cost_tokens: fields.Cost = 1

    def spec(self) -> RouteSpec:
        """Return the new definition of the object."""
        return RouteSpec(
            self.prefix,
            self.service,
            self.is_open,
            self.is_idempotent,
            self.cost_tokens,
        )


class _Withdraw(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field=WITHDRAW,
):
    name: fields.Name
    base: fields.BaseVersion


class WithdrawModel(_Withdraw, frozen=True, kw_only=True, tag='model'):
    """Withdraws a model; rejected while adapters depend on it."""


class WithdrawAdapter(_Withdraw, frozen=True, kw_only=True, tag='adapter'):
    """Withdraws an adapter."""


class WithdrawOrganisation(
    _Withdraw, frozen=True, kw_only=True, tag='organisation'
):
    """Withdraws an organisation; rejected while a key of it is in force."""


class WithdrawRoute(_Withdraw, frozen=True, kw_only=True, tag='route'):
    """Withdraws a route."""


class WithdrawKey(_Withdraw, frozen=True, kw_only=True, tag='key'):
    """Withdraws a key for good.

    :param base: ignored: a withdrawal is final, so that no concurrent change
        can conflict with it.
    """

    base: fields.BaseVersion | None = None


Put = PutModel | PutAdapter | PutOrganisation | PutKey | PutRoute
Withdraw = (
    WithdrawModel
    | WithdrawAdapter
    | WithdrawOrganisation
    | WithdrawKey
    | WithdrawRoute
)
Change = Put | Withdraw

CHANGE_TYPES: Mapping[str, Mapping[ObjectKind, type]] = {
    PUT: {
        ObjectKind.MODEL: PutModel,
        ObjectKind.ADAPTER: PutAdapter,
        ObjectKind.ORGANISATION: PutOrganisation,
        ObjectKind.KEY: PutKey,
        ObjectKind.ROUTE: PutRoute,
    },
    WITHDRAW: {
        ObjectKind.MODEL: WithdrawModel,
        ObjectKind.ADAPTER: WithdrawAdapter,
        ObjectKind.ORGANISATION: WithdrawOrganisation,
        ObjectKind.KEY: WithdrawKey,
        ObjectKind.ROUTE: WithdrawRoute,
    },
}


class NoteBody(msgspec.Struct, frozen=True):
    """Body of a release note on the releases stream.

    :param changes: fields of each change; see :func:`decode_change`.
    :param published_at_ms: wall clock of the operator's machine, in ms.
    """

    changes: Annotated[
        tuple[Fields, ...],
        msgspec.Meta(min_length=1, max_length=MAX_CHANGES),
    ]
    author: fields.Text = ''
    message: fields.Text = ''
    published_at_ms: Annotated[int, msgspec.Meta(ge=0)] = 0


def kind_of(change: Change) -> ObjectKind:
    """Return the kind of the object that a change concerns."""
    return ObjectKind(str(change.__struct_config__.tag))


def is_withdrawal(change: Change) -> bool:
    """Return whether a change withdraws its object."""
    return isinstance(change, _Withdraw)


def decode_change(raw: Mapping[str, Any]) -> Change:
    """Build a change from its fields.

    :param raw: fields as decoded from JSON or YAML.
    :raises msgspec.ValidationError: when the fields are not valid.
    """
    expected = Put if PUT in raw else Withdraw
    return msgspec.convert(raw, expected)
