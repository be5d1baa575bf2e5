"""Run queue of a runner.

The lowest priority value runs first. Within a priority, organisations share
the engine fairly; within an organisation, the earliest deadline runs first.
"""

import bisect
import dataclasses
from collections import deque
from collections.abc import Callable, Iterator

from lagoonflow.calls.messages import AttemptId, AttemptRequest
from lagoonflow.placement.messages import Target

# Tokens that an organisation may spend in each round.
QUANTUM_TOKENS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """One queued attempt.

    :param arrived_at_ms: when it was queued, on the agent's clock.
    :param deadline_ms: when its first token is due, on the agent's clock.
    :param cost_tokens: tokens that count against its organisation's share.
    :param service_ms: predicted time on the engine.
    :param sequence: position in the order of arrival; set by the queue.
    """

    request: AttemptRequest
    target: Target
    arrived_at_ms: int
    deadline_ms: int
    cost_tokens: float
    service_ms: float
    sequence: int = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key within an organisation: deadline, then order of arrival."""
        return self.deadline_ms, self.sequence


EntryPredicate = Callable[[QueueEntry], bool]


class _PriorityLevel:
    """Queue of one priority: deficit round robin over organisations.

    Costs and quantum are in tokens.
    """

    def __init__(self, quantum_tokens: float) -> None:
        self.queues: dict[str, list[QueueEntry]] = {}
        self._quantum_tokens = quantum_tokens
        self._deficits: dict[str, float] = {}
        self._rotation: deque[str] = deque()

    def add(self, entry: QueueEntry) -> None:
        organisation = entry.request.organisation
        if organisation not in self.queues:
            self.queues[organisation] = []
            self._deficits[organisation] = 0
            self._rotation.append(organisation)
        bisect.insort(self.queues[organisation], entry, key=_rank)

    def discard(self, entry: QueueEntry) -> None:
        organisation = entry.request.organisation
        queue = self.queues[organisation]
        queue.remove(entry)
        if not queue:
            self.queues.pop(organisation)
            self._deficits.pop(organisation)
            self._rotation.remove(organisation)

    def pop(self, is_eligible: EntryPredicate) -> QueueEntry | None:
        heads = self._heads(is_eligible)
        if not heads:
            return None
        while True:
            organisation = self._rotation[0]
            head = heads.get(organisation)
            if head is None:
                self._rotation.rotate(-1)
            elif self._deficits[organisation] >= head.cost_tokens:
                self._deficits[organisation] -= head.cost_tokens
                self.discard(head)
                return head
            else:
                self._deficits[organisation] += self._quantum_tokens
                self._rotation.rotate(-1)

    def _heads(self, is_eligible: EntryPredicate) -> dict[str, QueueEntry]:
        heads: dict[str, QueueEntry] = {}
        for organisation, queue in self.queues.items():
            head = next(filter(is_eligible, queue), None)
            if head is not None:
                heads[organisation] = head
        return heads


class RunQueue:
    """Queued attempts of one runner.

    :param quantum_tokens: tokens that an organisation may spend in each
        round of the deficit round robin.
    """

    def __init__(self, quantum_tokens: float = QUANTUM_TOKENS) -> None:
        self._quantum_tokens = quantum_tokens
        self._levels: dict[int, _PriorityLevel] = {}
        self._entries: dict[AttemptId, QueueEntry] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[QueueEntry]:
        return iter(tuple(self._entries.values()))

    def add(self, entry: QueueEntry) -> None:
        """Queue an attempt."""
        self._sequence += 1
        numbered = dataclasses.replace(entry, sequence=self._sequence)
        priority = entry.request.priority
        if priority not in self._levels:
            self._levels[priority] = _PriorityLevel(self._quantum_tokens)
        self._levels[priority].add(numbered)
        self._entries[entry.request.attempt] = numbered

    def remove(self, attempt: AttemptId) -> QueueEntry | None:
        """Remove an attempt; ``None`` when it isn't queued."""
        entry = self._entries.pop(attempt, None)
        if entry is not None:
            self._levels[entry.request.priority].discard(entry)
        return entry

    def pop(self, is_eligible: EntryPredicate) -> QueueEntry | None:
        """Remove the eligible attempt that runs next.

        :returns: ``None`` when no queued attempt is eligible.
        """
        for priority in sorted(self._levels):
            entry = self._levels[priority].pop(is_eligible)
            if entry is not None:
                self._entries.pop(entry.request.attempt)
                return entry
        return None

    def work_ahead_ms(
        self, entry: QueueEntry, is_counted: EntryPredicate
    ) -> float:
        """Predict the engine time of the attempts that run before an entry.

        Attempts with a lower priority value all count. At the entry's
        priority, each other organisation gets at most as much engine time
        as the entry's own one before the entry runs, so that a flood of
        requests adds no more than that.

        :param is_counted: tells which queued attempts count.
        """
        work_ahead_ms = float(0)
        for priority, level in self._levels.items():
            if priority < entry.request.priority:
                work_by_organisation_ms = _work_ms_by_organisation(
                    level, is_counted
                )
                work_ahead_ms += sum(work_by_organisation_ms.values())
            elif priority == entry.request.priority:
                work_ahead_ms += _work_ahead_at_priority_ms(
                    level, entry, is_counted
                )
        return work_ahead_ms

    def drop(self, is_dropped: EntryPredicate) -> tuple[QueueEntry, ...]:
        """Remove all attempts for which the predicate is true."""
        dropped = tuple(entry for entry in self if is_dropped(entry))
        for entry in dropped:
            self.remove(entry.request.attempt)
        return dropped


def _rank(entry: QueueEntry) -> tuple[int, int]:
    return entry.rank


def _work_ms_by_organisation(
    level: _PriorityLevel, is_counted: EntryPredicate
) -> dict[str, float]:
    return {
        organisation: sum(
            waiting.service_ms for waiting in queue if is_counted(waiting)
        )
        for organisation, queue in level.queues.items()
    }


def _work_ahead_at_priority_ms(
    level: _PriorityLevel,
    entry: QueueEntry,
    is_counted: EntryPredicate,
) -> float:
    own = entry.request.organisation
    own_ms = sum(
        waiting.service_ms
        for waiting in level.queues.get(own, ())
        if waiting.deadline_ms <= entry.deadline_ms and is_counted(waiting)
    )
    share_ms = own_ms + entry.service_ms
    work_by_organisation_ms = _work_ms_by_organisation(level, is_counted)
    work_by_organisation_ms.pop(own, None)
    return own_ms + sum(
        min(work_ms, share_ms) for work_ms in work_by_organisation_ms.values()
    )
