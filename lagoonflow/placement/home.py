"""Decision logic of the homes of models, without input or output.

Each event returns the actions that the task of the homes has to carry out.
"""

from collections.abc import Iterator

from lagoonflow.placement.actions import (
    HomeAction,
    Probe,
    ReplyToLocate,
)
from lagoonflow.placement.bidding import Bidding
from lagoonflow.placement.context import HomeContext
from lagoonflow.placement.home_role import HomeRole, HomeRoles
from lagoonflow.placement.messages import (
    Announcement,
    Bid,
    DecisionReply,
    LocateRequest,
)
from lagoonflow.placement.rounds import Waiter
from lagoonflow.placement.settings import HomeSettings, Models, Ranking
from lagoonflow.placement.table import ReplicaTable
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions


class HomeState:
    """State of one agent as home of models.

    An agent is home of the models for which it ranks first, and acts as home
    of others while the agents that rank before it are unreachable.

    :ivar context: state that the parts of a home share.
    :ivar is_caught_up: whether the agent may act as home; false after a pause
        of the process, until its roster is current again.
    """

    def __init__(
        self,
        settings: HomeSettings,
        models: Models,
        ranking: Ranking,
    ) -> None:
        self.is_caught_up = True
        self.context = HomeContext(
            settings,
            models,
            ReplicaTable(settings.announcement_lifetime_ms),
            HomeRoles(settings, ranking),
        )
        self._bidding = Bidding(self.context)
        self._ranking = ranking
        self._next_scale_out_ms: dict[str, int] = {}
        self._awaiting_probe: dict[str, list[Waiter]] = {}

    def on_versions(self, models: Models, versions: Versions) -> None:
        """Apply new release notes and a new roster.

        Replicas of agents that have left the roster are dropped.

        :param versions: stream versions that the process has applied.
        """
        self.context.models = models
        self.context.versions = versions
        # The ranking of any model lists all agents.
        self.context.table.retain(self._ranking(''))

    def on_locate(
        self,
        now_ms: int,
        request_number: int,
        request: LocateRequest,
    ) -> tuple[HomeAction, ...]:
        """Answer a locate request now, or let it wait for a decision.

        :param request_number: identifies the request in later actions.
        """
        deadline_ms = now_ms + request.deadline_in_ms
        waiter = Waiter(request_number, request, deadline_ms)
        return tuple(self._locate(now_ms, waiter))

    def on_announcement(
        self,
        now_ms: int,
        announcement: Announcement,
    ) -> tuple[HomeAction, ...]:
        """Record the replicas and checkpoints of an agent.

        A round for a further replica is opened for each model whose requests
        wait too long on the agent.
        """
        self.context.table.apply(now_ms, announcement)
        self.context.record_load_rates(announcement)
        self.context.home_roles.record_reachability(
            now_ms, announcement.agent, is_reachable=True
        )
        return tuple(
            action
            for model in announcement.under_pressure
            for action in self._scale_out(now_ms, model)
        )

    def on_bid(self, now_ms: int, bid: Bid) -> tuple[HomeAction, ...]:
        """Apply a bid, or an agent's refusal to bid."""
        return tuple(self._bidding.on_bid(now_ms, bid))

    def on_bid_failed(
        self,
        now_ms: int,
        bid_id: str,
        agent: str,
    ) -> tuple[HomeAction, ...]:
        """Go on without the bid of an agent that could not be reached."""
        self.context.home_roles.record_reachability(
            now_ms, agent, is_reachable=False
        )
        return tuple(self._bidding.on_bid_failed(now_ms, bid_id, agent))

    def on_decision_reply(
        self,
        now_ms: int,
        reply: DecisionReply,
    ) -> tuple[HomeAction, ...]:
        """Answer the waiting requests, or decide again after a refusal."""
        return tuple(self._bidding.on_decision_reply(now_ms, reply))

    def on_decision_failed(
        self,
        now_ms: int,
        decision_id: str,
    ) -> tuple[HomeAction, ...]:
        """Send a decision without a reply again, or decide for another bid."""
        return tuple(self._bidding.on_decision_failed(now_ms, decision_id))

    def on_probe(
        self,
        now_ms: int,
        peer: str,
        *,
        is_reachable: bool,
    ) -> tuple[HomeAction, ...]:
        """Apply the result of a probe of an agent that ranks before this one.

        If the peer is reachable, the waiting requests of its models are
        refused, since the peer is their home. If no such peer is reachable,
        this agent acts as home and serves them.
        """
        self.context.home_roles.record_reachability(
            now_ms, peer, is_reachable=is_reachable
        )
        return tuple(
            self._resolve_awaiting_probe(
                now_ms, peer, is_reachable=is_reachable
            )
        )

    def on_pause(self, now_ms: int) -> tuple[HomeAction, ...]:
        """Stop acting as home, because the process was paused for a while.

        Other agents may have acted as home meanwhile, so its knowledge of
        replicas and peers is dropped and all waiting requests are refused.
        """
        self.is_caught_up = False
        self.context.table.clear()
        self.context.home_roles.reset()
        waiters = self._bidding.drop_all()
        for awaiting in self._awaiting_probe.values():
            waiters.extend(awaiting)
        self._awaiting_probe.clear()
        return tuple(self._refuse_not_home(waiter) for waiter in waiters)

    def on_tick(self, now_ms: int) -> tuple[HomeAction, ...]:
        """Close or retry rounds that are due, and expire the replica table."""
        self.context.table.expire(now_ms)
        return tuple(self._bidding.on_tick(now_ms))

    def _locate(self, now_ms: int, waiter: Waiter) -> Iterator[HomeAction]:
        model = waiter.request.target.model
        if not self.is_caught_up:
            yield self._refuse_not_home(waiter)
            return
        if self.context.models.model(model) is None:
            refusal = Refusal(Result.UNKNOWN_MODEL, 'No such model.')
            yield self.context.reply(waiter, (), refusal)
            return
        match self.context.home_roles.role_of(now_ms, model):
            case HomeRole.HOME:
                yield from self._place(now_ms, waiter, model)
            case HomeRole.UNSURE if model in self._awaiting_probe:
                self._awaiting_probe[model].append(waiter)
            case HomeRole.UNSURE:
                self._awaiting_probe[model] = [waiter]
                predecessors = self.context.home_roles.predecessors_to_probe(
                    now_ms, model
                )
                yield from map(Probe, predecessors)
            case HomeRole.NONE:
                yield self._refuse_not_home(waiter)

    def _place(
        self,
        now_ms: int,
        waiter: Waiter,
        model: str,
    ) -> Iterator[HomeAction]:
        stale = waiter.request.stale_agents
        places = self.context.table.places(now_ms, model, stale)
        if places:
            yield self.context.reply(waiter, places)
        else:
            yield from self._bidding.join(now_ms, model, waiter)

    def _resolve_awaiting_probe(
        self,
        now_ms: int,
        peer: str,
        *,
        is_reachable: bool,
    ) -> Iterator[HomeAction]:
        """Refuse or serve the requests that waited for probes of a peer."""
        home_roles = self.context.home_roles
        for model in tuple(self._awaiting_probe):
            predecessors = home_roles.predecessors_to_probe(now_ms, model)
            if is_reachable and peer in predecessors:
                yield from map(
                    self._refuse_not_home, self._awaiting_probe.pop(model)
                )
            elif not predecessors:
                for waiter in self._awaiting_probe.pop(model):
                    yield from self._locate(now_ms, waiter)

    def _scale_out(self, now_ms: int, model: str) -> Iterator[HomeAction]:
        if not self.is_caught_up or now_ms < self._next_scale_out_ms.get(
            model, 0
        ):
            return
        if self.context.home_roles.role_of(now_ms, model) is not HomeRole.HOME:
            return
        places = self.context.table.places(now_ms, model)
        if places:
            self._next_scale_out_ms[model] = (
                now_ms + self.context.settings.spill_interval_ms
            )
            wait_to_beat_ms = places[0].ready_in_ms + places[0].queued_ms
            yield from self._bidding.scale_out(now_ms, model, wait_to_beat_ms)

    def _refuse_not_home(self, waiter: Waiter) -> ReplyToLocate:
        reason = 'Another agent is the home of this model.'
        refusal = Refusal(Result.NOT_HOME, reason)
        return self.context.reply(waiter, (), refusal)
