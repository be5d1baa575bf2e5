"""Fault switches that scenarios set over HTTP."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec


class Faults(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Faults that all stand-ins know.

    :param outage: answer every request with 503.
    :param silent: accept requests and never answer them.
    :param delay_ms: wait this long before each request is handled.
    """

    outage: bool = False
    silent: bool = False
    delay_ms: float = 0


FaultsT = TypeVar('FaultsT', bound=Faults)


class FaultSwitch(Generic[FaultsT]):
    """Holds the faults in force and tells a listener when they change.

    :param faults: the faults at the start.
    """

    def __init__(self, faults: FaultsT) -> None:
        self.now = faults
        self.on_change: Callable[[], None] | None = None

    def merge(self, change: dict[str, Any]) -> None:
        """Switch the named faults and keep the others.

        :raises msgspec.ValidationError: when a name or a value is wrong.
        """
        merged = {**msgspec.to_builtins(self.now), **change}
        self.now = msgspec.convert(merged, type=type(self.now))
        if self.on_change is not None:
            self.on_change()

    def take(self, name: str) -> bool:
        """Use up one of a counted fault; false when none is left."""
        left = getattr(self.now, name)
        if left > 0:
            self.now = msgspec.structs.replace(self.now, **{name: left - 1})
        return left > 0

    def take_flag(self, name: str) -> bool:
        """Read a flag that works once and switch it off."""
        is_set = getattr(self.now, name)
        self.now = msgspec.structs.replace(self.now, **{name: False})
        return is_set
