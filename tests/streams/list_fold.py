"""A fold that lists its records, so that states differ when these do."""

import msgspec

from lagoonflow.results import Refusal, Result
from lagoonflow.streams.fold import FoldBase
from lagoonflow.streams.messages import Stream


class ListFold(FoldBase):
    stream = Stream.RELEASES

    def __init__(self):
        super().__init__()
        self.items = []

    def _fold(self, envelope, offset):
        if envelope.kind != 'item':
            return Refusal(Result.RECORD_REJECTED, 'unknown kind')
        self.items.append(msgspec.json.decode(envelope.body, type=str))
        return None

    def _dump(self):
        return self.items

    def _load(self, state):
        self.items = msgspec.json.decode(state, type=list[str])
