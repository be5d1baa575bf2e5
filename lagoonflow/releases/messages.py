"""Kinds and definitions of the objects that release notes change."""

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
    """Definition of a model.

    :param version: version label of the weights.
    :param checkpoint: name of the checkpoint in the weight store.
    :param memory_mb: accelerator memory of one replica, in MB.
    :param max_replicas: maximum number of replicas in the whole fleet.
    """

    version: str
    checkpoint: str
    memory_mb: int
    max_replicas: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterSpec:
    """Definition of an adapter on top of a base model.

    :param model: name of the base model.
    :param version: version label of the weights.
    :param checkpoint: name of the checkpoint in the weight store.
    :param memory_mb: accelerator memory of the adapter, in MB.
    """

    model: str
    version: str
    checkpoint: str
    memory_mb: int = 32


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationSpec:
    """Definition of an organisation and its limits in the whole fleet.

    :param rate_tokens_per_s: refill rate of its token bucket, per second.
    :param burst_tokens: capacity of its token bucket, in tokens.
    """

    rate_tokens_per_s: float
    burst_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeySpec:
    """Definition of a key; the key itself is not stored.

    :param organisation: name of the organisation that the key belongs to.
    :param digest: SHA-256 of the key, in hexadecimal.
    """

    organisation: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteSpec:
    """Definition of a route: calls below a path prefix go to a service.

    :param prefix: path prefix, such as ``/portal``.
    :param service: name of the plain service, as agents announce it.
    :param is_open: whether calls are accepted without a key.
    :param is_idempotent: whether a failed call may be retried.
    :param cost_tokens: tokens that a call costs its organisation.
    """

    prefix: str
    service: str
    is_open: bool = False
    is_idempotent: bool = False
    cost_tokens: float = 1
