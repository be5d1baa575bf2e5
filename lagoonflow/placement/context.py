"""State that the parts of a home share."""

import dataclasses
import statistics

from lagoonflow.placement.actions import ReplyToLocate, SendBidRequest
from lagoonflow.placement.home_role import HomeRoles
from lagoonflow.placement.messages import (
    Announcement,
    BidRequest,
    LoadRate,
    LocateReply,
    Place,
    Tier,
)
from lagoonflow.placement.rounds import BidRound, Waiter
from lagoonflow.placement.settings import HomeSettings, Models
from lagoonflow.placement.table import ReplicaTable
from lagoonflow.results import Refusal
from lagoonflow.streams.messages import Versions


@dataclasses.dataclass(slots=True)
class HomeContext:
    """Shared state of one agent in its role as home of models.

    :param models: models of the release notes in force.
    :param table: replicas and checkpoints that the agents have.
    :param home_roles: for which models this agent acts as home.
    :param versions: stream versions that this process has applied.
    :param rounds: the open round of bids of each model.
    :param last_id: number of the last id that was issued.
    :param observed_ms_per_mb: latest load speed by tier and agent, in ms/MB.
    """

    settings: HomeSettings
    models: Models
    table: ReplicaTable
    home_roles: HomeRoles
    versions: Versions = Versions()
    rounds: dict[str, BidRound] = dataclasses.field(default_factory=dict)
    last_id: int = 0
    observed_ms_per_mb: dict[tuple[Tier, str], float] = dataclasses.field(
        default_factory=dict,
    )

    def record_load_rates(self, announcement: Announcement) -> None:
        """Store the load speeds that an agent has observed."""
        for rate in announcement.load_rates:
            self.observed_ms_per_mb[rate.tier, announcement.agent] = (
                rate.ms_per_mb
            )

    def load_rates(self) -> tuple[LoadRate, ...]:
        """Return the median load speed over all agents for each tier."""
        by_tier: dict[Tier, list[float]] = {}
        for key, ms_per_mb in self.observed_ms_per_mb.items():
            by_tier.setdefault(key[0], []).append(ms_per_mb)
        return tuple(
            LoadRate(tier, statistics.median(speeds))
            for tier, speeds in by_tier.items()
        )

    def new_id(self) -> str:
        """Return an id that is unique across all homes and restarts."""
        self.last_id += 1
        return f'{self.settings.name}/{self.settings.nonce}/{self.last_id}'

    def reply(
        self,
        waiter: Waiter,
        places: tuple[Place, ...],
        refusal: Refusal | None = None,
    ) -> ReplyToLocate:
        """Build the reply to a waiting locate request."""
        reply = LocateReply(self.versions, places, refusal)
        return ReplyToLocate(waiter.request_number, reply)

    def bid_request(self, current: BidRound, agent: str) -> SendBidRequest:
        """Build a request for the bid of an agent in a round."""
        request = BidRequest(
            current.bid_id,
            current.model,
            self.versions,
            self.settings.name,
            load_rates=self.load_rates(),
        )
        return SendBidRequest(agent, request)

    def bid_withdrawal(
        self, bid_id: str, model: str, agent: str
    ) -> SendBidRequest:
        """Build a message that releases the memory reserved for a bid."""
        request = BidRequest(
            bid_id,
            model,
            self.versions,
            self.settings.name,
            is_withdrawal=True,
        )
        return SendBidRequest(agent, request)
