"""Replica table of a home: soft state from announcements and bids.

An entry expires unless its agent repeats it.
"""

import dataclasses
from collections.abc import Collection, Iterator

from lagoonflow.placement.messages import (
    Announcement,
    Bid,
    Place,
    Replica,
    Tier,
)

# Tiers of a bid from an agent that already has a replica of the model.
_REPLICA_TIERS = frozenset((Tier.READY, Tier.LOADING))


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One replica as its agent last described it.

    :param decision_id: decision that loaded the replica; empty if unknown.
    :param ready_at_ms: when the replica is predicted to be ready.
    :param wait_ms: predicted wait in the run queue after that, in ms.
    :param updated_at_ms: when the bid or announcement arrived.
    """

    model: str
    agent: str
    decision_id: str
    ready_at_ms: int
    wait_ms: int
    updated_at_ms: int

    def place(self, now_ms: int) -> Place:
        """Return the replica as a place in the reply to a locate request."""
        ready_in_ms = max(0, self.ready_at_ms - now_ms)
        return Place(self.agent, self.decision_id, ready_in_ms, self.wait_ms)


class ReplicaTable:
    """Tracks which agents have replicas and checkpoints of which models.

    :param lifetime_ms: time after which an entry that isn't repeated expires,
        in ms.
    """

    def __init__(self, lifetime_ms: int) -> None:
        self._lifetime_ms = lifetime_ms
        self._entries: dict[tuple[str, str], Entry] = {}
        self._checkpoints: dict[tuple[str, str], int] = {}
        self._nonces: dict[str, str] = {}

    def apply(self, now_ms: int, announcement: Announcement) -> None:
        """Replace the entries of an agent for the announced models.

        A new nonce means that the agent has restarted, so that its earlier
        entries are dropped for all models.
        """
        agent = announcement.agent
        if self._nonces.get(agent) != announcement.nonce:
            self.drop_agent(agent)
            self._nonces[agent] = announcement.nonce
        for model in announcement.models:
            self.remove(model, agent)
            self._checkpoints.pop((model, agent), None)
        for replica in announcement.replicas:
            entry = _from_replica(now_ms, agent, replica)
            self._entries[entry.model, agent] = entry
        for checkpoint in announcement.checkpoints:
            self._checkpoints[checkpoint.model, agent] = now_ms

    def apply_bid(self, now_ms: int, model: str, bid: Bid) -> None:
        """Update or remove a replica as its agent's latest bid describes it."""
        if bid.refusal is not None or bid.tier not in _REPLICA_TIERS:
            self.remove(model, bid.agent)
            return
        known = self._entries.get((model, bid.agent))
        decision_id = known.decision_id if known else ''
        self.add(now_ms, model, bid, decision_id)

    def add(
        self,
        now_ms: int,
        model: str,
        bid: Bid,
        decision_id: str,
    ) -> None:
        """Add the replica that a bid describes.

        :param decision_id: decision that loads it; empty if unknown.
        """
        self._entries[model, bid.agent] = Entry(
            model=model,
            agent=bid.agent,
            decision_id=decision_id,
            ready_at_ms=now_ms + bid.ready_in_ms,
            wait_ms=bid.wait_ms,
            updated_at_ms=now_ms,
        )

    def remove(self, model: str, agent: str) -> None:
        """Remove the replica of a model on one agent."""
        self._entries.pop((model, agent), None)

    def drop_agent(self, agent: str) -> None:
        """Remove all replicas and checkpoints of an agent."""
        for key in tuple(self._entries):
            if key[1] == agent:
                self._entries.pop(key)
        for key in tuple(self._checkpoints):
            if key[1] == agent:
                self._checkpoints.pop(key)

    def retain(self, agents: Collection[str]) -> None:
        """Remove the entries of all agents but the given ones."""
        known = {agent for _, agent in self._entries | self._checkpoints}
        for agent in known.difference(agents):
            self.drop_agent(agent)

    def clear(self) -> None:
        """Remove all replicas and checkpoints."""
        self._entries.clear()
        self._checkpoints.clear()

    def expire(self, now_ms: int) -> None:
        """Remove the replicas and checkpoints whose lifetime has passed."""
        oldest_ms = now_ms - self._lifetime_ms
        for key, entry in tuple(self._entries.items()):
            if entry.updated_at_ms < oldest_ms:
                self._entries.pop(key)
        for key, updated_at_ms in tuple(self._checkpoints.items()):
            if updated_at_ms < oldest_ms:
                self._checkpoints.pop(key)

    def places(
        self,
        now_ms: int,
        model: str,
        excluded: Collection[str] = (),
    ) -> tuple[Place, ...]:
        """Return the places of a model, the shortest predicted wait first."""
        places = [
            entry.place(now_ms)
            for entry in self._entries_of(model)
            if entry.agent not in excluded
        ]
        return tuple(sorted(places, key=_by_wait))

    def count(self, model: str) -> int:
        """Return the number of known replicas of a model."""
        return sum(1 for _ in self._entries_of(model))

    def holders(self, model: str) -> set[str]:
        """Return the agents that have a checkpoint or a replica of a model."""
        holders = {entry.agent for entry in self._entries_of(model)}
        holders.update(
            agent for name, agent in self._checkpoints if name == model
        )
        return holders

    def _entries_of(self, model: str) -> Iterator[Entry]:
        for entry in self._entries.values():
            if entry.model == model:
                yield entry


def _from_replica(now_ms: int, agent: str, replica: Replica) -> Entry:
    return Entry(
        model=replica.model,
        agent=agent,
        decision_id=replica.decision_id,
        ready_at_ms=now_ms + replica.ready_in_ms,
        wait_ms=replica.wait_ms,
        updated_at_ms=now_ms,
    )


def _by_wait(place: Place) -> tuple[int, str]:
    return place.ready_in_ms + place.queued_ms, place.agent
