"""Indexed look-ups of the objects in force."""

import dataclasses
from collections.abc import Mapping

from lagoonflow.releases.catalogue import Catalogue
from lagoonflow.releases.messages import (
    AdapterSpec,
    KeySpec,
    ModelSpec,
    ObjectKind,
    OrganisationSpec,
    RouteSpec,
)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """A key, which may be withdrawn."""

    key_id: str
    spec: KeySpec
    is_withdrawn: bool


class _Indexes:
    """Indexes of one catalogue by name, prefix and digest."""

    def __init__(self, catalogue: Catalogue) -> None:
        self.models: dict[str, ModelSpec] = catalogue.in_force(ObjectKind.MODEL)
        self.adapters: dict[str, AdapterSpec] = catalogue.in_force(
            ObjectKind.ADAPTER
        )
        self.organisations: dict[str, OrganisationSpec] = catalogue.in_force(
            ObjectKind.ORGANISATION
        )
        self.routes: dict[str, RouteSpec] = catalogue.in_force(ObjectKind.ROUTE)
        self.routes_by_prefix = {
            spec.prefix: spec for spec in self.routes.values()
        }
        self.keys = {
            name: KeyState(name, stored.spec, stored.is_withdrawn)
            for name, stored in catalogue.all_by_name(ObjectKind.KEY).items()
        }
        self.keys_by_digest = {
            key.spec.digest: key for key in self.keys.values()
        }


class ReleaseLookups:
    """Look-ups of the objects in force.

    Each request makes several of them, so they use indexes that are built
    once per catalogue.
    """

    def __init__(self) -> None:
        super().__init__()
        self.catalogue = Catalogue()
        self._indexes = _Indexes(self.catalogue)

    def replace_catalogue(self, catalogue: Catalogue) -> None:
        """Make a catalogue the current one."""
        self._indexes = _Indexes(catalogue)
        self.catalogue = catalogue

    def model(self, name: str) -> ModelSpec | None:
        """Return a model in force, or ``None``."""
        return self._indexes.models.get(name)

    def models(self) -> Mapping[str, ModelSpec]:
        """Return the models in force by name."""
        return self._indexes.models

    def adapter(self, name: str) -> AdapterSpec | None:
        """Return an adapter in force, or ``None``."""
        return self._indexes.adapters.get(name)

    def adapters(self) -> Mapping[str, AdapterSpec]:
        """Return the adapters in force by name."""
        return self._indexes.adapters

    def organisation(self, name: str) -> OrganisationSpec | None:
        """Return an organisation in force, or ``None``."""
        return self._indexes.organisations.get(name)

    def organisations(self) -> Mapping[str, OrganisationSpec]:
        """Return the organisations in force by name."""
        return self._indexes.organisations

    def key(self, key_id: str) -> KeyState | None:
        """Return a key by its id, even if it is withdrawn."""
        return self._indexes.keys.get(key_id)

    def key_by_digest(self, digest: str) -> KeyState | None:
        """Return a key by its digest, even if it is withdrawn."""
        return self._indexes.keys_by_digest.get(digest)

    def routes(self) -> Mapping[str, RouteSpec]:
        """Return the routes in force by name."""
        return self._indexes.routes

    def route_for(self, path: str) -> RouteSpec | None:
        """Return the route whose prefix matches the most segments of a path.

        A prefix matches whole segments only: ``/portal`` is a prefix of
        ``/portal/x``, but not of ``/portals``.
        """
        prefix = path.rstrip('/')
        while prefix:
            spec = self._indexes.routes_by_prefix.get(prefix)
            if spec is not None:
                return spec
            prefix = prefix.rpartition('/')[0]
        return None
