"""Decision logic of a home: from a locate request to a decision."""

from collections.abc import Iterator

from lagoonflow.placement.actions import (
    HomeAction,
    Probe,
    ReplyLocate,
)
from lagoonflow.placement.bidding import Bidding
from lagoonflow.placement.duty import Duties, Duty
from lagoonflow.placement.messages import (
    Announcement,
    Bid,
    DecisionReply,
    LocateReply,
    LocateRequest,
    Place,
)
from lagoonflow.placement.rounds import Waiter
from lagoonflow.placement.settings import HomeSettings, Models, Ranking
from lagoonflow.placement.table import ReplicaTable
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions


class HomeState:
    """Home of those models for which this agent ranks first.

    :ivar versions: versions that this process has folded.
    :ivar is_caught_up: false after a pause, until the roster is current.
    """

    def __init__(
        self,
        settings: HomeSettings,
        models: Models,
        ranking: Ranking,
    ) -> None:
        self.is_caught_up = True
        self._models = models
        self._ranking = ranking
        self._spill_interval_ms = settings.spill_interval_ms
        self._next_spill_ms: dict[str, int] = {}
        self._parked: dict[str, list[Waiter]] = {}
        self.table = ReplicaTable(settings.announcement_lifetime_ms)
        self.duties = Duties(settings, ranking)
        self.bidding = Bidding(settings, models, self.table, self.duties)

    @property
    def versions(self) -> Versions:
        """Versions that this process has folded."""
        return self.bidding.versions

    def on_versions(self, models: Models, versions: Versions) -> None:
        """Follow the release notes and the roster of these versions."""
        self._models = models
        self.bidding.models = models
        self.bidding.versions = versions
        self.table.retain(self._ranking(''))

    def on_locate(
        self,
        now_ms: int,
        number: int,
        request: LocateRequest,
    ) -> tuple[HomeAction, ...]:
        """Answer a locate request now, or let it wait for a decision.

        :param number: names the request in the actions.
        """
        deadline_ms = now_ms + request.deadline_in_ms
        waiter = Waiter(number, request, deadline_ms)
        return tuple(self._locate(now_ms, waiter))

    def on_announcement(
        self,
        now_ms: int,
        announcement: Announcement,
    ) -> tuple[HomeAction, ...]:
        """Note what an agent holds, and relieve it if it has to be."""
        self.table.apply(now_ms, announcement)
        self.duties.mark(now_ms, announcement.agent, is_reachable=True)
        return tuple(
            action
            for model in announcement.under_pressure
            for action in self._relieve(now_ms, model)
        )

    def on_bid(self, now_ms: int, bid: Bid) -> tuple[HomeAction, ...]:
        """Take a bid or the refusal to bid."""
        return tuple(self.bidding.on_bid(now_ms, bid))

    def on_bid_failed(
        self,
        now_ms: int,
        bid_id: str,
        agent: str,
    ) -> tuple[HomeAction, ...]:
        """Note that an agent could not be asked."""
        self.duties.mark(now_ms, agent, is_reachable=False)
        return tuple(self.bidding.on_bid_failed(now_ms, bid_id, agent))

    def on_decision_reply(
        self,
        now_ms: int,
        reply: DecisionReply,
    ) -> tuple[HomeAction, ...]:
        """Tell the routers the place, or decide again."""
        return tuple(self.bidding.on_decision_reply(now_ms, reply))

    def on_decision_failed(
        self,
        now_ms: int,
        decision_id: str,
    ) -> tuple[HomeAction, ...]:
        """Send a decision again whose reply is lost, then decide anew."""
        return tuple(self.bidding.on_decision_failed(now_ms, decision_id))

    def on_probe(
        self,
        now_ms: int,
        peer: str,
        *,
        is_reachable: bool,
    ) -> tuple[HomeAction, ...]:
        """Act for a peer that is lost, or leave it to the peer."""
        self.duties.mark(now_ms, peer, is_reachable=is_reachable)
        return tuple(self._unpark(now_ms, peer, is_reachable=is_reachable))

    def on_pause(self, now_ms: int) -> tuple[HomeAction, ...]:
        """Drop all authority: the process has not run for a while."""
        self.is_caught_up = False
        self.table.clear()
        self.duties.reset()
        waiters = self.bidding.drop_all()
        for parked in self._parked.values():
            waiters.extend(parked)
        self._parked.clear()
        return tuple(self._refuse_home(waiter) for waiter in waiters)

    def on_caught_up(self, now_ms: int) -> None:
        """Act as home again: the roster is current."""
        self.is_caught_up = True

    def on_tick(self, now_ms: int) -> tuple[HomeAction, ...]:
        """Close rounds whose time is over, and expire soft state."""
        self.table.expire(now_ms)
        return tuple(self.bidding.on_tick(now_ms))

    def _locate(self, now_ms: int, waiter: Waiter) -> Iterator[HomeAction]:
        model = waiter.request.target.model
        if not self.is_caught_up:
            yield self._refuse_home(waiter)
            return
        if self._models.model(model) is None:
            refusal = Refusal(Result.UNKNOWN_MODEL, 'No such model.')
            yield self._reply(waiter, (), refusal)
            return
        match self.duties.find(now_ms, model):
            case Duty.HOME:
                yield from self._locate_at_home(now_ms, waiter, model)
            case Duty.UNSURE:
                yield from self._park(now_ms, waiter, model)
            case Duty.NONE:
                yield self._refuse_home(waiter)

    def _locate_at_home(
        self,
        now_ms: int,
        waiter: Waiter,
        model: str,
    ) -> Iterator[HomeAction]:
        stale = waiter.request.stale_agents
        places = self.table.places(now_ms, model, stale)
        if places:
            yield self._reply(waiter, places)
        else:
            yield from self.bidding.join(now_ms, model, waiter)

    def _park(
        self,
        now_ms: int,
        waiter: Waiter,
        model: str,
    ) -> Iterator[HomeAction]:
        is_first = model not in self._parked
        self._parked.setdefault(model, []).append(waiter)
        if is_first:
            yield from map(Probe, self.duties.unproven(now_ms, model))

    def _unpark(
        self,
        now_ms: int,
        peer: str,
        *,
        is_reachable: bool,
    ) -> Iterator[HomeAction]:
        for model in tuple(self._parked):
            if is_reachable and peer in self.duties.unproven(now_ms, model):
                for waiter in self._parked.pop(model):
                    yield self._refuse_home(waiter)
            elif self.duties.find(now_ms, model) is Duty.HOME:
                for waiter in self._parked.pop(model):
                    yield from self._locate(now_ms, waiter)

    def _relieve(self, now_ms: int, model: str) -> Iterator[HomeAction]:
        if not self.is_caught_up or now_ms < self._next_spill_ms.get(model, 0):
            return
        if self.duties.find(now_ms, model) is not Duty.HOME:
            return
        places = self.table.places(now_ms, model)
        if places:
            self._next_spill_ms[model] = now_ms + self._spill_interval_ms
            worth_ms = places[0].ready_in_ms + places[0].queued_ms
            yield from self.bidding.spill(now_ms, model, worth_ms)

    def _refuse_home(self, waiter: Waiter) -> ReplyLocate:
        reason = 'Another agent is the home of this model.'
        return self._reply(waiter, (), Refusal(Result.NOT_HOME, reason))

    def _reply(
        self,
        waiter: Waiter,
        places: tuple[Place, ...],
        refusal: Refusal | None = None,
    ) -> ReplyLocate:
        reply = LocateReply(self.versions, places, refusal)
        return ReplyLocate(waiter.number, reply)
