"""Connects the state of the claims to the claims stream of the log."""

from typing import Any

import msgspec

from lagoonflow.calls.claims import ClaimsState
from lagoonflow.results import Refusal
from lagoonflow.streams.envelope import Envelope
from lagoonflow.streams.fold import FoldBase
from lagoonflow.streams.messages import Stream


class ClaimsFold(FoldBase):
    """Applies the records of the claims stream to a :class:`ClaimsState`."""

    stream = Stream.CLAIMS

    def __init__(self) -> None:
        """Start without claims."""
        super().__init__()
        self.state = ClaimsState()

    def _fold(self, envelope: Envelope, offset: int) -> Refusal | None:
        return self.state.fold(envelope.kind, envelope.body, offset)

    def _dump(self) -> Any:
        return self.state.dump()

    def _load(self, state: msgspec.Raw) -> None:
        self.state.load(state)
