"""Faults of stand-ins, which tests change over HTTP."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec


class Faults(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Faults that every stand-in supports.

    :param outage: answer every request with 503.
    :param silent: accept requests and never answer them.
    :param delay_ms: delay before each request is handled, in ms.
    """

    outage: bool = False
    silent: bool = False
    delay_ms: float = 0


FaultsT = TypeVar('FaultsT', bound=Faults)


class FaultSwitch(Generic[FaultsT]):
    """Holds the current faults of a stand-in.

    :param faults: the faults at the start.
    :ivar on_change: called after each change made by `merge`.
    """

    def __init__(self, faults: FaultsT) -> None:
        self.current = faults
        self.on_change: Callable[[], None] | None = None

    def merge(self, change: dict[str, Any]) -> None:
        """Change the named faults and keep the others.

        :raises msgspec.ValidationError: when a name or a value is wrong.
        """
        merged = {**msgspec.to_builtins(self.current), **change}
        self.current = msgspec.convert(merged, type=type(self.current))
        if self.on_change is not None:
            self.on_change()

    def use_one(self, name: str) -> bool:
        """Count a fault down by one; return False when it was used up."""
        remaining = getattr(self.current, name)
        if remaining > 0:
            self.current = msgspec.structs.replace(
                self.current, **{name: remaining - 1}
            )
        return remaining > 0

    def use_flag(self, name: str) -> bool:
        """Return a flag that takes effect once, and reset it."""
        is_set = getattr(self.current, name)
        self.current = msgspec.structs.replace(self.current, **{name: False})
        return is_set
