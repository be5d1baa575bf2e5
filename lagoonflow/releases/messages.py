"""Data classes of release notes and of the objects that they change."""

import dataclasses
import enum


class ObjectKind(enum.StrEnum):
    """Kinds of objects that a release note changes."""

    MODEL = 'model'
    ADAPTER = 'adapter'
    ORGANISATION = 'organisation'
    KEY = 'key'
    ROUTE = 'route'


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSpec:
    """One model.

    :param version: version label of the weights.
    :param checkpoint: name of the checkpoint in the weight store.
    :param memory_mb: accelerator memory of one replica.
    :param max_replicas: most replicas over the fleet.
    """

    version: str
    checkpoint: str
    memory_mb: int
    max_replicas: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterSpec:
    """One adapter on top of a base model."""

    model: str
    version: str
    checkpoint: str
    memory_mb: int = 32


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationSpec:
    """One organisation and its limits over all hosts together.

    :param rate_tokens_per_s: tokens that accrue each second.
    :param burst_tokens: most tokens that can be saved up.
    """

    rate_tokens_per_s: float
    burst_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeySpec:
    """One key of an organisation; only its digest is known.

    :param digest: SHA-256 of the key, in hexadecimal.
    """

    organisation: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteSpec:
    """One route of a plain service below a path prefix.

    :param prefix: path prefix, such as ``/portal``.
    :param service: name of the service that agents announce.
    :param is_open: whether callers need no key.
    :param is_idempotent: whether a call may be repeated.
    :param cost_tokens: what a call costs its organisation.
    """

    prefix: str
    service: str
    is_open: bool = False
    is_idempotent: bool = False
    cost_tokens: float = 1
