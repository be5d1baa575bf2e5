"""What the parts of a home share."""

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
    """Settings, views and tables of the homes of one agent.

    :param models: models of the release notes in force.
    :param versions: versions that this process has folded.
    :param rounds: the round of bids of each model.
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
        """Note the speeds of loads that an agent has observed."""
        for rate in announcement.load_rates:
            self.observed_ms_per_mb[rate.tier, announcement.agent] = (
                rate.ms_per_mb
            )

    def load_rates(self) -> tuple[LoadRate, ...]:
        """Median speed of loads by tier."""
        by_tier: dict[Tier, list[float]] = {}
        for key, ms_per_mb in self.observed_ms_per_mb.items():
            by_tier.setdefault(key[0], []).append(ms_per_mb)
        return tuple(
            LoadRate(tier, statistics.median(speeds))
            for tier, speeds in by_tier.items()
        )

    def new_id(self) -> str:
        """Return an id that no other home uses."""
        self.last_id += 1
        return f'{self.settings.name}/{self.settings.nonce}/{self.last_id}'

    def reply(
        self,
        waiter: Waiter,
        places: tuple[Place, ...],
        refusal: Refusal | None = None,
    ) -> ReplyToLocate:
        """Answer a locate request."""
        reply = LocateReply(self.versions, places, refusal)
        return ReplyToLocate(waiter.request_number, reply)

    def bid_request(self, bid_round: BidRound, agent: str) -> SendBidRequest:
        """Ask an agent for its bid in a round."""
        request = BidRequest(
            bid_round.bid_id,
            bid_round.model,
            self.versions,
            self.settings.name,
            load_rates=self.load_rates(),
        )
        return SendBidRequest(agent, request)

    def bid_withdrawal(
        self, bid_id: str, model: str, agent: str
    ) -> SendBidRequest:
        """Release the memory that an agent has reserved for a bid."""
        request = BidRequest(
            bid_id,
            model,
            self.versions,
            self.settings.name,
            is_withdrawal=True,
        )
        return SendBidRequest(agent, request)
